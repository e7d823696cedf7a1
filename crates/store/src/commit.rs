//! Group commit: many small changes in few transactions, with lost replies settled.
//!
//! Each transaction checks and writes the node's marker row, which names the transaction by the
//! node's incarnation and a sequence number. A transaction whose reply is lost is sent again as it
//! was: if the first one has been made, or is made later, the second one fails on the marker's
//! version, and reading the marker tells which transaction it names. So no write is made twice and
//! none is given up while it could still be made.

use std::{collections::VecDeque, time::Duration};

use model::{Incarnation, NodeId, Time};
use serde::{Deserialize, Serialize};

use crate::{Check, Row, StoreError, TableReq, TableResp, Txn, Write, decode, encode};

/// Settings of a [`GroupCommit`].
#[derive(Clone, Debug)]
pub struct CommitConfig {
    /// The shortest interval between two transactions. 50 ms by default.
    pub interval: Duration,
    /// The most changes in one transaction. 200 by default.
    pub changes_max: usize,
    /// The most changes that wait; further ones are refused. 10,000 by default.
    pub waiting_max: usize,
    /// The wait before an unanswered transaction is sent again. 500 ms by default.
    pub retry_after: Duration,
}

impl Default for CommitConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(50),
            changes_max: 200,
            waiting_max: 10_000,
            retry_after: Duration::from_millis(500),
        }
    }
}

/// Checks and writes that belong together, and a tag by which their owner knows them again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitChange {
    /// Comes back with the settlement.
    pub tag: u64,
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It was made; the rows that it wrote have this version.
    Committed {
        /// The version of the rows written.
        version: u64,
    },
    /// It was not made, and never will be, because of the check of this key.
    Conflict {
        /// The key whose check failed.
        key: String,
    },
    /// It was not made, and never will be: the platform refused it.
    Refused {
        /// The platform's reason.
        reason: String,
    },
}

/// What the owner of a [`GroupCommit`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutput {
    /// Make this call and hand its result to [`GroupCommit::reply`].
    Call(TableReq),
    /// The change with this tag is settled.
    Settled(u64, Settlement),
}

/// Too many changes wait: the platform is slow or cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many changes wait for the platform's table")]
pub struct Full;

/// The marker row `marker/<node>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Marker {
    incarnation: Incarnation,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Batch {
    seq: u64,
    changes: Vec<CommitChange>,
    /// Whether a transaction with these changes may have been made: one was sent, and it is not known
    /// that it did not arrive.
    may_be_made: bool,
}

/// What is known of the marker row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MarkerVersion {
    /// It is to be read before the next transaction.
    Unread,
    /// Its version; `None` where there is no row.
    Known(Option<u64>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No call is under way.
    Idle,
    /// The marker is being read.
    ReadingMarker,
    /// The batch's transaction is being made.
    Committing,
}

/// The changes of one node on their way to the table.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    cfg: CommitConfig,
    marker_key: String,
    incarnation: Incarnation,
    marker: MarkerVersion,
    seq: u64,
    waiting: VecDeque<CommitChange>,
    /// Batches that a conflict has split; they go before what waits.
    split: VecDeque<Vec<CommitChange>>,
    batch: Option<Batch>,
    phase: Phase,
    next_call: Time,
    transactions: u64,
}

impl GroupCommit {
    /// Makes one with nothing to commit.
    #[must_use]
    pub fn new(cfg: CommitConfig, node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            marker_key: format!("marker/{node}"),
            incarnation,
            marker: MarkerVersion::Unread,
            seq: 0,
            waiting: VecDeque::new(),
            split: VecDeque::new(),
            batch: None,
            phase: Phase::Idle,
            next_call: Time::ZERO,
            transactions: 0,
        }
    }

    /// Adds a change.
    ///
    /// # Errors
    ///
    /// Too many changes wait; this one is not taken and will not be made.
    pub fn push(&mut self, change: CommitChange) -> Result<(), Full> {
        if self.waiting.len() >= self.cfg.waiting_max {
            return Err(Full);
        }
        self.waiting.push_back(change);
        Ok(())
    }

    /// Takes back a change that was surely not made. Returns whether it was taken back: it is then never
    /// made and never settled.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        let waits = self.waiting.iter().position(|change| change.tag == tag);
        if let Some(i) = waits {
            self.waiting.remove(i);
            return true;
        }
        let split = self
            .split
            .iter()
            .position(|part| part.iter().any(|c| c.tag == tag));
        if let Some(i) = split {
            self.split.remove(i);
            return true;
        }
        let under_way = self.phase == Phase::Committing;
        let batch = self
            .batch
            .as_mut()
            .filter(|batch| !(under_way || batch.may_be_made));
        let Some(batch) = batch else {
            return false;
        };
        let before = batch.changes.len();
        batch.changes.retain(|change| change.tag != tag);
        let withdrawn = batch.changes.len() < before;
        if batch.changes.is_empty() {
            self.batch = None;
        }
        withdrawn
    }

    /// How many changes are not settled.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        let under_way = self.batch.as_ref().map_or(0, |batch| batch.changes.len());
        let split: usize = self.split.iter().map(Vec::len).sum();
        under_way + split + self.waiting.len()
    }

    /// How many transactions were sent.
    #[must_use]
    pub const fn transactions(&self) -> u64 {
        self.transactions
    }

    /// Makes the next call if one is due.
    pub fn poll(&mut self, now: Time, out: &mut Vec<CommitOutput>) {
        if self.phase != Phase::Idle || now < self.next_call || !self.fill_batch() {
            return;
        }
        let MarkerVersion::Known(marker_version) = self.marker else {
            self.read_marker(out);
            return;
        };
        let txn = self.transaction(marker_version);
        self.phase = Phase::Committing;
        self.transactions += 1;
        self.next_call = now + self.cfg.interval;
        out.push(CommitOutput::Call(TableReq::Commit(txn)));
    }

    /// Takes the result of the call under way.
    pub fn reply(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => {}
            Phase::ReadingMarker => self.marker_read(now, result, out),
            Phase::Committing => self.committed(now, result, out),
        }
        self.poll(now, out);
    }

    fn fill_batch(&mut self) -> bool {
        if self.batch.is_some() {
            return true;
        }
        let changes = self.split.pop_front().unwrap_or_else(|| {
            let n = self.waiting.len().min(self.cfg.changes_max);
            self.waiting.drain(..n).collect()
        });
        if changes.is_empty() {
            return false;
        }
        self.seq += 1;
        let seq = self.seq;
        self.batch = Some(Batch {
            seq,
            changes,
            may_be_made: false,
        });
        true
    }

    fn transaction(&self, marker_version: Option<u64>) -> Txn {
        let seq = self.seq;
        let marker = Marker {
            incarnation: self.incarnation,
            seq,
        };
        // The marker's check comes first: the table names the first check that fails, and after a
        // lost reply the checks of this batch's own rows fail too.
        let mut txn = Txn {
            checks: vec![Check {
                key: self.marker_key.clone(),
                version: marker_version,
            }],
            writes: vec![Write {
                key: self.marker_key.clone(),
                value: Some(encode(&marker)),
            }],
        };
        for change in self.batch.iter().flat_map(|batch| &batch.changes) {
            txn.checks.extend_from_slice(&change.checks);
            txn.writes.extend_from_slice(&change.writes);
        }
        txn
    }

    fn read_marker(&mut self, out: &mut Vec<CommitOutput>) {
        self.phase = Phase::ReadingMarker;
        let key = self.marker_key.clone();
        out.push(CommitOutput::Call(TableReq::Get { key }));
    }

    fn marker_read(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        let Ok(TableResp::Row(row)) = result else {
            self.next_call = now + self.cfg.retry_after;
            return;
        };
        self.marker = MarkerVersion::Known(row.as_ref().map(|row| row.version));
        if let Some(version) = row.and_then(|row| self.names_batch(&row)) {
            self.settle(&Settlement::Committed { version }, out);
        }
    }

    /// The version of the marker, if it names the transaction under way.
    fn names_batch(&self, row: &Row) -> Option<u64> {
        let batch = self.batch.as_ref()?;
        let marker: Marker = decode(&row.value).ok()?;
        let ours = marker.incarnation == self.incarnation && marker.seq == batch.seq;
        ours.then_some(row.version)
    }

    fn committed(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        match result {
            Ok(TableResp::Committed { version }) => {
                self.marker = MarkerVersion::Known(Some(version));
                self.settle(&Settlement::Committed { version }, out);
            }
            Ok(TableResp::Conflict { key }) if key == self.marker_key => {
                self.marker = MarkerVersion::Unread;
                self.next_call = now;
            }
            Ok(TableResp::Conflict { key }) => self.split_or_settle(key, out),
            Err(StoreError::Refused(reason)) => {
                self.settle(&Settlement::Refused { reason }, out);
            }
            Err(StoreError::Unreachable(_)) => self.next_call = now + self.cfg.retry_after,
            Ok(_) | Err(StoreError::Lost(_)) => {
                if let Some(batch) = &mut self.batch {
                    batch.may_be_made = true;
                }
                self.next_call = now + self.cfg.retry_after;
            }
        }
    }

    /// A transaction that conflicts is not made at all: its changes are tried one by one, so that one
    /// change's conflict is not another's.
    fn split_or_settle(&mut self, key: String, out: &mut Vec<CommitOutput>) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        if let [change] = &batch.changes[..] {
            out.push(CommitOutput::Settled(
                change.tag,
                Settlement::Conflict { key },
            ));
            return;
        }
        for change in batch.changes.into_iter().rev() {
            self.split.push_front(vec![change]);
        }
    }

    fn settle(&mut self, settlement: &Settlement, out: &mut Vec<CommitOutput>) {
        for change in self
            .batch
            .take()
            .into_iter()
            .flat_map(|batch| batch.changes)
        {
            out.push(CommitOutput::Settled(change.tag, settlement.clone()));
        }
    }
}

//! Group commit: many small changes in few transactions, with lost replies settled.
//!
//! Each transaction checks and writes the node's marker row, which names the transaction by the
//! node's incarnation and a sequence number. A transaction whose reply is lost is sent again as it
//! was: if the first copy has been made, or is made later, the second one fails on the marker's
//! version, and reading the marker tells which transaction it names. So no change is made twice, and
//! none is given up while it could still be made.
//!
//! A transaction that the table did not make may have a copy on its way, which a check that fails now
//! (`None`, the row's absence) does not stop for good. Before its changes are settled or tried
//! anew, a transaction of the marker alone, the *fence*, raises the marker's version: after that no
//! copy of an earlier transaction can be made.

mod queue;

use std::time::Duration;

use model::{Incarnation, NodeId, Time};
use serde::{Deserialize, Serialize};

use self::queue::{Queue, Waiting};
use crate::{Check, Row, StoreError, TableReq, TableResp, Txn, Write, decode, encode};

/// Settings of a [`GroupCommit`].
#[derive(Clone, Debug)]
pub struct CommitConfig {
    /// The shortest interval between two transactions. 50 ms by default.
    pub interval: Duration,
    /// The most changes in one transaction. 200 by default.
    pub max_changes: usize,
    /// The most changes that wait; further ones are refused. 10,000 by default.
    pub max_queue_len: usize,
    /// How long a change waits to be sent before it is given up as not run. 10 s by default.
    pub max_wait: Duration,
    /// The wait before an unanswered transaction is sent again. 500 ms by default.
    pub retry_delay: Duration,
}

impl Default for CommitConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(50),
            max_changes: 200,
            max_queue_len: 10_000,
            max_wait: Duration::from_secs(10),
            retry_delay: Duration::from_millis(500),
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
    /// It was not made, and never will be: it waited too long to be sent, or a later start of this
    /// node has taken over its marker row.
    NotRun,
    /// It may have been made: its reply was lost, and a later start of this node has overwritten the
    /// marker row that would have told.
    MayHaveRun,
}

/// What the owner of a [`GroupCommit`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutput {
    /// Make this call and hand its result to [`GroupCommit::reply`].
    Call(TableReq),
    /// The change with this tag is settled.
    Settled(u64, Settlement),
}

/// Why a change was not taken; it will not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PushError {
    /// Too many changes wait: the platform is slow or cannot be reached.
    #[error("too many changes wait for the platform's table")]
    Full,
    /// A later start of this node has taken over: this process is stale.
    #[error("a later start of this node writes to the platform's table")]
    Stale,
}

/// The marker row `marker/<node>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Marker {
    incarnation: Incarnation,
    seq: u64,
}

/// The transaction under way.
#[derive(Clone, Debug)]
struct Batch {
    seq: u64,
    changes: Vec<Waiting>,
    /// A copy of the transaction was sent whose outcome is unknown.
    uncertain: bool,
    /// Why the table did not make it: it is being fenced.
    failed: Option<Settlement>,
    /// The number of the fence, once it was sent.
    fence: Option<u64>,
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
    /// The batch's transaction, or its fence, is being made.
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
    queue: Queue,
    batch: Option<Batch>,
    phase: Phase,
    next_call: Time,
    next_transaction: Time,
    transactions: u64,
    stale: bool,
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
            queue: Queue::default(),
            batch: None,
            phase: Phase::Idle,
            next_call: Time::ZERO,
            next_transaction: Time::ZERO,
            transactions: 0,
            stale: false,
        }
    }

    /// Adds a change.
    ///
    /// # Errors
    ///
    /// Too many changes wait, or a later start of this node has taken over. The change is not taken
    /// and will not be made.
    pub fn push(&mut self, now: Time, change: CommitChange) -> Result<(), PushError> {
        if self.stale {
            return Err(PushError::Stale);
        }
        if self.queue.len() >= self.cfg.max_queue_len {
            return Err(PushError::Full);
        }
        self.queue.push(now, change);
        Ok(())
    }

    /// Takes back a change that was surely not made. Returns whether it was taken back: it is then never
    /// made and never settled.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        if self.queue.remove(tag) {
            return true;
        }
        let under_way = self.phase == Phase::Committing;
        let Some(batch) = self.batch.as_mut().filter(|_| !under_way) else {
            return false;
        };
        if batch.uncertain || batch.failed.is_some() {
            return false;
        }
        let before = batch.changes.len();
        batch.changes.retain(|waiting| waiting.change.tag != tag);
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
        under_way + self.queue.len()
    }

    /// How long the oldest change that is not settled has waited; zero where there is none.
    #[must_use]
    pub fn oldest_wait(&self, now: Time) -> Duration {
        let under_way = self.batch.iter().flat_map(|batch| &batch.changes);
        let oldest = under_way.map(|w| w.since).chain(self.queue.oldest()).min();
        oldest.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// How many transactions were sent.
    #[must_use]
    pub const fn transactions(&self) -> u64 {
        self.transactions
    }

    /// Whether a later start of this node has taken over. Nothing is sent any more.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale
    }

    /// Gives up what has waited too long, and makes the next call if one is due.
    pub fn poll(&mut self, now: Time, out: &mut Vec<CommitOutput>) {
        self.give_up_expired(now, out);
        if self.phase != Phase::Idle || now < self.next_call || !self.fill_batch() {
            return;
        }
        let MarkerVersion::Known(marker_version) = self.marker else {
            return self.read_marker(out);
        };
        if now < self.next_transaction {
            return;
        }
        let txn = self.transaction(marker_version);
        self.phase = Phase::Committing;
        self.transactions += 1;
        self.next_transaction = now + self.cfg.interval;
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

    /// Changes of which no copy was sent, or none that could still be made, are given up in time; a
    /// change that may have been made stays until that is known.
    fn give_up_expired(&mut self, now: Time, out: &mut Vec<CommitOutput>) {
        let max = self.cfg.max_wait;
        let sent = |batch: &Batch| batch.uncertain || batch.failed.is_some();
        if self.phase == Phase::Idle
            && let Some(batch) = self.batch.take_if(|batch| !sent(batch))
        {
            let (expired, rest) = batch
                .changes
                .into_iter()
                .partition(|w| now.since(w.since) > max);
            settle(expired, &Settlement::NotRun, out);
            let changes: Vec<Waiting> = rest;
            self.batch = (!changes.is_empty()).then_some(Batch { changes, ..batch });
        }
        let expired = self.queue.take_expired(now, max);
        settle(expired, &Settlement::NotRun, out);
    }

    fn fill_batch(&mut self) -> bool {
        if self.batch.is_some() {
            return true;
        }
        let changes = self.queue.take(self.cfg.max_changes);
        if changes.is_empty() {
            return false;
        }
        self.batch = Some(Batch {
            seq: self.next_seq(),
            changes,
            uncertain: false,
            failed: None,
            fence: None,
        });
        true
    }

    const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn transaction(&mut self, marker_version: Option<u64>) -> Txn {
        let mut seq = self.seq;
        if self.batch.as_ref().is_some_and(needs_fence_number) {
            seq = self.next_seq();
        }
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
        let Some(batch) = &mut self.batch else {
            return txn;
        };
        if batch.failed.is_some() {
            batch.fence = Some(seq);
            return txn;
        }
        for waiting in &batch.changes {
            txn.checks.extend_from_slice(&waiting.change.checks);
            txn.writes.extend_from_slice(&waiting.change.writes);
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
            self.next_call = now + self.cfg.retry_delay;
            return;
        };
        let marker = row.as_ref().and_then(marker_of);
        if marker.is_some_and(|marker| marker.incarnation > self.incarnation) {
            return self.become_stale(out);
        }
        let version = row.map(|row| row.version);
        self.marker = MarkerVersion::Known(version);
        let ours = marker.filter(|marker| marker.incarnation == self.incarnation);
        let (Some(marker), Some(version), Some(batch)) = (ours, version, &self.batch) else {
            return;
        };
        if marker.seq == batch.seq {
            self.settle_batch(&Settlement::Committed { version }, out);
        } else if Some(marker.seq) == batch.fence {
            self.fenced(out);
        }
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
                if self.batch.as_ref().is_some_and(|b| b.failed.is_some()) {
                    self.fenced(out);
                } else {
                    self.settle_batch(&Settlement::Committed { version }, out);
                }
            }
            Ok(TableResp::Conflict { key }) if key == self.marker_key => {
                self.marker = MarkerVersion::Unread;
            }
            Ok(TableResp::Conflict { key }) => {
                self.not_made(now, Settlement::Conflict { key }, out);
            }
            Err(StoreError::Refused(reason)) => {
                self.not_made(now, Settlement::Refused { reason }, out);
            }
            Err(StoreError::Unreachable(_)) => self.next_call = now + self.cfg.retry_delay,
            Ok(_) | Err(StoreError::Lost(_)) => {
                self.next_call = now + self.cfg.retry_delay;
                if let Some(batch) = &mut self.batch {
                    batch.uncertain = true;
                }
            }
        }
    }

    /// The table has not made the transaction. A conflict that can never turn into success, and a
    /// refusal, need no fence unless another copy is on its way.
    fn not_made(&mut self, now: Time, failure: Settlement, out: &mut Vec<CommitOutput>) {
        let Some(batch) = &mut self.batch else {
            return;
        };
        if batch.failed.is_some() {
            // The fence itself was refused: it is sent again.
            self.next_call = now + self.cfg.retry_delay;
            return;
        }
        let for_good = match &failure {
            Settlement::Conflict { key } => batch.never_again(key),
            _ => !batch.uncertain,
        };
        batch.failed = Some(failure);
        if for_good {
            self.fenced(out);
        }
    }

    /// No copy of the transaction can be made any more. Its changes are tried one by one, so that
    /// one change's conflict is not another's.
    fn fenced(&mut self, out: &mut Vec<CommitOutput>) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        match batch.failed {
            Some(failure) if batch.changes.len() == 1 => settle(batch.changes, &failure, out),
            _ => self.queue.split(batch.changes),
        }
    }

    fn become_stale(&mut self, out: &mut Vec<CommitOutput>) {
        self.stale = true;
        if let Some(batch) = self.batch.take() {
            let settlement = if batch.uncertain || batch.failed.is_some() {
                Settlement::MayHaveRun
            } else {
                Settlement::NotRun
            };
            settle(batch.changes, &settlement, out);
        }
        settle(self.queue.take_all(), &Settlement::NotRun, out);
    }

    fn settle_batch(&mut self, settlement: &Settlement, out: &mut Vec<CommitOutput>) {
        if let Some(batch) = self.batch.take() {
            settle(batch.changes, settlement, out);
        }
    }
}

impl Batch {
    /// Whether the failed check of `key` can never hold again: versions are not reused, so only the
    /// absence of a row can come back.
    fn never_again(&self, key: &str) -> bool {
        let checks = self.changes.iter().flat_map(|w| &w.change.checks);
        checks
            .filter(|check| check.key == key)
            .any(|check| check.version.is_some())
    }
}

const fn needs_fence_number(batch: &Batch) -> bool {
    batch.failed.is_some() && batch.fence.is_none()
}

fn marker_of(row: &Row) -> Option<Marker> {
    decode(&row.value).ok()
}

fn settle(changes: Vec<Waiting>, settlement: &Settlement, out: &mut Vec<CommitOutput>) {
    for waiting in changes {
        out.push(CommitOutput::Settled(
            waiting.change.tag,
            settlement.clone(),
        ));
    }
}

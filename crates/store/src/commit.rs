//! Group commit: batches many small changes into few table transactions and resolves lost replies.
//!
//! Each transaction checks and writes the node's marker row, which identifies the last committed
//! transaction by the node's incarnation and a sequence number. A transaction whose reply is lost is
//! sent again unchanged. If the first copy has been committed, or is committed later, the second one
//! fails on the marker's version, and reading the marker row shows which transaction was committed.
//! Hence no change is applied twice, and no change is given up while it could still be applied.
//!
//! A transaction that the table rejected may have an earlier copy still in flight. A failed check for
//! a row's absence (`version: None`) does not rule that copy out, because the row can be deleted before
//! the copy arrives. Before the changes of such a transaction are settled or retried, a transaction that
//! writes only the marker row, the *fence*, raises the marker's version. After that, no copy of an
//! earlier transaction can be committed.

mod queue;

use std::time::Duration;

use model::{Incarnation, NodeId, Time};
use serde::{Deserialize, Serialize};

use self::queue::{Queue, QueuedChange};
use crate::{Check, Row, StoreError, TableReq, TableResp, Txn, Write, decode, encode};

/// Settings of a [`GroupCommit`].
#[derive(Clone, Debug)]
pub struct CommitConfig {
    /// The minimum interval between the starts of two transactions. 50 ms by default.
    pub interval: Duration,
    /// The maximum number of changes in one transaction. 200 by default.
    pub max_changes: usize,
    /// The maximum number of queued changes; further ones are rejected. 10,000 by default.
    pub max_queue_len: usize,
    /// The maximum time a change may wait to be sent; after that it is settled as
    /// [`Settlement::NotRun`]. 10 s by default.
    pub max_wait: Duration,
    /// The delay before a call that failed without a definite result is repeated. 500 ms by default.
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

/// Checks and writes that are applied together, with a tag that identifies them to their owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitChange {
    /// Returned with the settlement.
    pub tag: u64,
    /// The conditions under which the writes are applied.
    pub checks: Vec<Check>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

/// The final outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The change was applied.
    Committed {
        /// The version of the rows that the change wrote.
        version: u64,
    },
    /// The change was not applied and never will be, because one of its checks failed.
    Conflict {
        /// The key whose check failed.
        key: String,
    },
    /// The change was not applied and never will be, because the platform refused it.
    Refused {
        /// The platform's reason.
        reason: String,
    },
    /// The change was not applied and never will be: it waited too long to be sent, or a later
    /// incarnation of this node has taken over the marker row.
    NotRun,
    /// It is unknown whether the change was applied: its reply was lost, and a later incarnation of this
    /// node has overwritten the marker row that would have shown the result.
    MayHaveRun,
}

/// An instruction or a result for the owner of a [`GroupCommit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutput {
    /// Make this call and pass its result to [`GroupCommit::reply`].
    Call(TableReq),
    /// The change with this tag is settled.
    Settled(u64, Settlement),
}

/// The reason why [`GroupCommit::push`] rejected a change. The change is never applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PushError {
    /// The queue is full, because the platform is slow or cannot be reached.
    #[error("too many changes wait for the platform's table")]
    Full,
    /// A later incarnation of this node has taken over, so this process is stale.
    #[error("a later start of this node writes to the platform's table")]
    Stale,
}

/// The value of the marker row `marker/<node>`: the node's last committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Marker {
    incarnation: Incarnation,
    seq: u64,
}

/// The changes of the current transaction.
#[derive(Clone, Debug)]
struct Batch {
    seq: u64,
    changes: Vec<QueuedChange>,
    /// Whether a copy of the transaction was sent whose outcome is unknown.
    is_uncertain: bool,
    /// Why the table rejected the transaction. While set, the batch is being fenced.
    failure: Option<Settlement>,
    /// The sequence number of the fence, once it has been sent.
    fence_seq: Option<u64>,
}

/// What this process knows about the marker row's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MarkerVersion {
    /// The row has to be read before the next transaction.
    Unread,
    /// The row's version, or `None` if the row does not exist.
    Known(Option<u64>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No call is in flight.
    Idle,
    /// The marker row is being read.
    ReadingMarker,
    /// The batch's transaction or its fence is in flight.
    Committing,
}

/// Commits the changes of one node to the table, with at most one call in flight.
///
/// The owner adds changes with [`push`](Self::push), calls [`poll`](Self::poll) regularly, makes the
/// calls it is given, and passes their results to [`reply`](Self::reply).
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
    is_stale: bool,
}

impl GroupCommit {
    /// Returns a group commit with an empty queue.
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
            is_stale: false,
        }
    }

    /// Adds a change to the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full or a later incarnation of this node has taken over. The
    /// change is then never applied.
    pub fn push(&mut self, now: Time, change: CommitChange) -> Result<(), PushError> {
        if self.is_stale {
            return Err(PushError::Stale);
        }
        if self.queue.len() >= self.cfg.max_queue_len {
            return Err(PushError::Full);
        }
        self.queue.push(now, change);
        Ok(())
    }

    /// Withdraws a change of which no copy has been or can still be applied. Returns whether the change
    /// was withdrawn; if so, it is never applied and never settled.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        if self.queue.remove(tag) {
            return true;
        }
        let in_flight = self.phase == Phase::Committing;
        let Some(batch) = self.batch.as_mut().filter(|_| !in_flight) else {
            return false;
        };
        if batch.is_uncertain || batch.failure.is_some() {
            return false;
        }
        let before = batch.changes.len();
        batch.changes.retain(|queued| queued.change.tag != tag);
        let withdrawn = batch.changes.len() < before;
        if batch.changes.is_empty() {
            self.batch = None;
        }
        withdrawn
    }

    /// Returns the number of changes that are not settled.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        let in_flight = self.batch.as_ref().map_or(0, |batch| batch.changes.len());
        in_flight + self.queue.len()
    }

    /// Returns how long the oldest unsettled change has waited, or zero if there is none.
    #[must_use]
    pub fn oldest_wait(&self, now: Time) -> Duration {
        let in_flight = self.batch.iter().flat_map(|batch| &batch.changes);
        let oldest = in_flight
            .map(|queued| queued.queued_at)
            .chain(self.queue.oldest())
            .min();
        oldest.map_or(Duration::ZERO, |queued_at| now.since(queued_at))
    }

    /// Returns the number of transactions sent so far, including repeats and fences.
    #[must_use]
    pub const fn transactions(&self) -> u64 {
        self.transactions
    }

    /// Returns whether a later incarnation of this node has taken over. A stale group commit sends
    /// nothing.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Settles the changes that have waited too long, and issues the next call if one is due.
    pub fn poll(&mut self, now: Time, out: &mut Vec<CommitOutput>) {
        self.expire_changes(now, out);
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

    /// Processes the result of the call in flight, then polls.
    pub fn reply(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => {}
            Phase::ReadingMarker => self.handle_marker_read(now, result, out),
            Phase::Committing => self.handle_commit_result(now, result, out),
        }
        self.poll(now, out);
    }

    /// Settles as not run the changes that have waited too long and of which no copy can be applied any
    /// more. A change that may have been applied stays until its outcome is known.
    fn expire_changes(&mut self, now: Time, out: &mut Vec<CommitOutput>) {
        let max = self.cfg.max_wait;
        let was_sent = |batch: &Batch| batch.is_uncertain || batch.failure.is_some();
        if self.phase == Phase::Idle
            && let Some(batch) = self.batch.take_if(|batch| !was_sent(batch))
        {
            let (expired, rest) = batch
                .changes
                .into_iter()
                .partition(|queued| now.since(queued.queued_at) > max);
            settle(expired, &Settlement::NotRun, out);
            let changes: Vec<QueuedChange> = rest;
            self.batch = (!changes.is_empty()).then_some(Batch { changes, ..batch });
        }
        let expired = self.queue.take_expired(now, max);
        settle(expired, &Settlement::NotRun, out);
    }

    /// Moves changes from the queue into a batch if there is no batch. Returns whether there is one now.
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
            is_uncertain: false,
            failure: None,
            fence_seq: None,
        });
        true
    }

    const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Builds the transaction of the batch, or its fence if the table rejected the transaction.
    fn transaction(&mut self, marker_version: Option<u64>) -> Txn {
        let mut seq = self.seq;
        if self.batch.as_ref().is_some_and(needs_fence_seq) {
            seq = self.next_seq();
        }
        let marker = Marker {
            incarnation: self.incarnation,
            seq,
        };
        // The marker's check comes first because the table reports the first check that fails. After a
        // lost reply, the checks of the batch's own rows fail as well and would hide the marker's.
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
        if batch.failure.is_some() {
            batch.fence_seq = Some(seq);
            return txn;
        }
        for queued in &batch.changes {
            txn.checks.extend_from_slice(&queued.change.checks);
            txn.writes.extend_from_slice(&queued.change.writes);
        }
        txn
    }

    fn read_marker(&mut self, out: &mut Vec<CommitOutput>) {
        self.phase = Phase::ReadingMarker;
        let key = self.marker_key.clone();
        out.push(CommitOutput::Call(TableReq::Get { key }));
    }

    fn handle_marker_read(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        let Ok(TableResp::Row(row)) = result else {
            self.next_call = now + self.cfg.retry_delay;
            return;
        };
        let marker = row.as_ref().and_then(decode_marker);
        if marker.is_some_and(|marker| marker.incarnation > self.incarnation) {
            return self.mark_stale(out);
        }
        let version = row.map(|row| row.version);
        self.marker = MarkerVersion::Known(version);
        let ours = marker.filter(|marker| marker.incarnation == self.incarnation);
        let (Some(marker), Some(version), Some(batch)) = (ours, version, &self.batch) else {
            return;
        };
        if marker.seq == batch.seq {
            self.settle_batch(&Settlement::Committed { version }, out);
        } else if Some(marker.seq) == batch.fence_seq {
            self.finish_fenced_batch(out);
        }
    }

    fn handle_commit_result(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<CommitOutput>,
    ) {
        match result {
            Ok(TableResp::Committed { version }) => {
                self.marker = MarkerVersion::Known(Some(version));
                if self
                    .batch
                    .as_ref()
                    .is_some_and(|batch| batch.failure.is_some())
                {
                    self.finish_fenced_batch(out);
                } else {
                    self.settle_batch(&Settlement::Committed { version }, out);
                }
            }
            Ok(TableResp::Conflict { key }) if key == self.marker_key => {
                self.marker = MarkerVersion::Unread;
            }
            Ok(TableResp::Conflict { key }) => {
                self.handle_rejection(now, Settlement::Conflict { key }, out);
            }
            Err(StoreError::Refused(reason)) => {
                self.handle_rejection(now, Settlement::Refused { reason }, out);
            }
            Err(StoreError::Unreachable(_)) => self.next_call = now + self.cfg.retry_delay,
            Ok(_) | Err(StoreError::Lost(_)) => {
                self.next_call = now + self.cfg.retry_delay;
                if let Some(batch) = &mut self.batch {
                    batch.is_uncertain = true;
                }
            }
        }
    }

    /// Handles a transaction that the table rejected. The batch needs a fence if an earlier copy may
    /// still be committed. No fence is needed after a conflict that can never turn into success, nor
    /// after a refusal if no other copy is in flight.
    fn handle_rejection(&mut self, now: Time, failure: Settlement, out: &mut Vec<CommitOutput>) {
        let Some(batch) = &mut self.batch else {
            return;
        };
        if batch.failure.is_some() {
            // The table rejected the fence itself: send it again later.
            self.next_call = now + self.cfg.retry_delay;
            return;
        }
        let is_permanent = match &failure {
            Settlement::Conflict { key } => batch.cannot_hold_again(key),
            _ => !batch.is_uncertain,
        };
        batch.failure = Some(failure);
        if is_permanent {
            self.finish_fenced_batch(out);
        }
    }

    /// Settles or retries the batch once no copy of its transaction can be committed any more. Several
    /// changes are retried in transactions of their own, so that one change's conflict does not fail
    /// the others.
    fn finish_fenced_batch(&mut self, out: &mut Vec<CommitOutput>) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        match batch.failure {
            Some(failure) if batch.changes.len() == 1 => settle(batch.changes, &failure, out),
            _ => self.queue.push_individually(batch.changes),
        }
    }

    /// Settles all changes after a later incarnation of this node has taken over.
    fn mark_stale(&mut self, out: &mut Vec<CommitOutput>) {
        self.is_stale = true;
        if let Some(batch) = self.batch.take() {
            let settlement = if batch.is_uncertain || batch.failure.is_some() {
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
    /// Returns whether the failed check of `key` can never hold again. Versions are not reused, so only
    /// a check for a row's absence can become true again.
    fn cannot_hold_again(&self, key: &str) -> bool {
        let checks = self.changes.iter().flat_map(|queued| &queued.change.checks);
        checks
            .filter(|check| check.key == key)
            .any(|check| check.version.is_some())
    }
}

const fn needs_fence_seq(batch: &Batch) -> bool {
    batch.failure.is_some() && batch.fence_seq.is_none()
}

fn decode_marker(row: &Row) -> Option<Marker> {
    decode(&row.value).ok()
}

fn settle(changes: Vec<QueuedChange>, settlement: &Settlement, out: &mut Vec<CommitOutput>) {
    for queued in changes {
        out.push(CommitOutput::Settled(queued.change.tag, settlement.clone()));
    }
}

//! Stores the rows of clients' requests in batches.
//!
//! A part of the table executes its transactions one at a time. While a transaction of this node with rows of jobs is in
//! flight, further such rows for the same part wait and are sent together in the next one, so that a burst
//! does not slow down the table further. Cancellations do the same among themselves.
//!
//! A write that was given up may be carried out later, so it cannot be withdrawn. The row of a job and a cancellation that
//! comes before it exclude each other instead: whichever the table stores first makes the other one's condition fail. Once
//! the cancellation is deleted, the [guard](crate::guard) of the part makes it fail.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    time::Duration,
};

use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{Instant, timeout_at},
};

use jobs::JobId;
use model::Time;

use crate::{
    Node, Ports, Row, RowKey, Transaction,
    commit::{self, Outcome},
    guard::GuardCondition,
    message::{GUARDS_LEVEL, RelayRequest},
    rows::{CANCELLED, cancel_key, guard_key, job_key},
};

/// The most rows in one transaction. Each row takes up to three entries, two conditions and a write, the guard takes one, and
/// the platform accepts 100 entries.
const MAX_BATCH_ROWS: usize = 33;

/// The most bytes of values in one transaction. The platform accepts 1 MB after encoding.
const MAX_BATCH_BYTES: usize = 500 << 10;

/// How long a transaction is retried. The clients' deadlines are 3 s.
const BATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long to wait for the outcome of a transaction in flight once the table is lost.
const LOST_TABLE_GRACE: Duration = Duration::from_millis(150);

/// A row to create. It must not exist yet.
#[derive(Clone, Debug)]
pub(crate) struct NewRow {
    job: JobId,
    key: RowKey,
    value: Vec<u8>,
    /// A row of the same part that must not exist either.
    excluded_by: Option<RowKey>,
    /// The condition on the guard of the part; `None` for a row that may be created at any time.
    guard: Option<GuardCondition>,
}

impl NewRow {
    /// Returns the row of a job, given its encoded content. A cancellation that is stored before excludes it.
    pub(crate) fn job(id: JobId, content: Vec<u8>, guard: GuardCondition) -> Self {
        Self {
            job: id,
            key: job_key(id),
            value: content,
            excluded_by: Some(cancel_key(id)),
            guard: Some(guard),
        }
    }

    /// Returns the cancellation of a job.
    pub(crate) fn cancellation(id: JobId) -> Self {
        Self {
            job: id,
            key: cancel_key(id),
            value: CANCELLED.to_vec(),
            excluded_by: None,
            guard: None,
        }
    }

    /// Returns the cancellation of a job that is not stored. The row of the job excludes it.
    pub(crate) fn early_cancellation(id: JobId) -> Self {
        Self {
            excluded_by: Some(job_key(id)),
            ..Self::cancellation(id)
        }
    }

    /// Returns the content.
    pub(crate) fn value(&self) -> &[u8] {
        &self.value
    }

    /// Expects a newer version of the guard, if that is safe. Returns whether it is.
    pub(crate) fn renew_guard(&mut self, version: u64, now: Time, retention: Duration) -> bool {
        let guard = self.guard.as_mut();
        guard.is_some_and(|guard| guard.renew(version, now, retention))
    }

    /// Returns the request with which a scheduler of this protocol level stores the row.
    pub(crate) fn relay_request(&self, level: u32) -> RelayRequest {
        match self.guard {
            None => RelayRequest::Cancel(self.job),
            Some(guard) if level >= GUARDS_LEVEL => RelayRequest::SubmitGuarded {
                job: self.job,
                row: self.value.clone(),
                guard: guard.version,
            },
            Some(_) => RelayRequest::Submit(self.job, self.value.clone()),
        }
    }

    /// Returns the rows that must not exist.
    fn absent(&self) -> impl Iterator<Item = &RowKey> {
        std::iter::once(&self.key).chain(&self.excluded_by)
    }
}

/// The outcome of storing a new row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The row is stored, with this version.
    Stored(u64),
    /// The row exists. If an earlier attempt was not answered, that attempt may have created it.
    Exists,
    /// A row exists that excludes this one. This one is not stored and never will be, by this attempt or an earlier one.
    Excluded,
    /// The guard of the part has this newer version. The row is not stored and never will be, by this attempt or an earlier
    /// one with the same guard.
    Outdated(u64),
    /// The row was not stored and never will be by this attempt.
    NotStored(String),
    /// The row may be stored, now or later.
    Unknown(String),
}

/// A row that waits to be stored.
struct PendingRow {
    number: u64,
    row: NewRow,
    /// When the requester stops waiting.
    deadline: Instant,
    /// Receives the outcome.
    tx: oneshot::Sender<StoreOutcome>,
}

impl PendingRow {
    /// Returns why the row cannot be stored any more while the guard of its part has version `guard`.
    fn refusal(&self, now: Instant, guard: u64) -> Option<StoreOutcome> {
        if (self.row.guard).is_some_and(|condition| condition.version < guard) {
            return Some(StoreOutcome::Outdated(guard));
        }
        let is_late = self.deadline <= now || self.tx.is_closed();
        is_late.then(|| StoreOutcome::NotStored("no time is left".to_owned()))
    }

    /// Returns the outcome of a conflict with existing rows, or `None` if they do not concern this row.
    fn conflict(&self, existing: &HashSet<&str>) -> Option<StoreOutcome> {
        let exists = |key: &RowKey| existing.contains(key.key.as_str());
        if exists(&self.row.key) {
            return Some(StoreOutcome::Exists);
        }
        let is_excluded = self.row.excluded_by.as_ref().is_some_and(exists);
        is_excluded.then_some(StoreOutcome::Excluded)
    }
}

/// Rows that go together in transactions: those of jobs, or cancellations, of one part of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LaneKey {
    part: String,
    has_jobs: bool,
}

#[derive(Default)]
struct Lane {
    /// The rows that are not in a transaction yet.
    waiting: Vec<PendingRow>,
    /// Whether a task is storing rows of this lane.
    is_busy: bool,
}

/// The rows that wait to be stored.
///
/// A transaction whose answer is lost keeps its lane busy for seconds. Cancellations are few, so that a lane of their own
/// costs few transactions.
#[derive(Default)]
pub(crate) struct WriteQueue {
    lanes: RefCell<HashMap<LaneKey, Lane>>,
    last_number: Cell<u64>,
}

impl WriteQueue {
    /// Removes a row that was not sent yet. Returns whether it was still waiting.
    fn remove_unsent(&self, key: &LaneKey, number: u64) -> bool {
        let mut lanes = self.lanes.borrow_mut();
        let Some(lane) = lanes.get_mut(key) else {
            return false;
        };
        let before = lane.waiting.len();
        lane.waiting.retain(|pending| pending.number != number);
        lane.waiting.len() < before
    }

    /// Takes the rows for the next transaction of a lane, if the guard of its part has version `guard`. Answers the requesters
    /// of those that it is too late to send. If there are none, marks the lane as idle and returns `None`.
    fn take_batch(&self, key: &LaneKey, now: Instant, guard: u64) -> Option<Vec<PendingRow>> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.get_mut(key)?;
        // A process that was suspended finds rows whose requesters have gone.
        for pending in std::mem::take(&mut lane.waiting) {
            match pending.refusal(now, guard) {
                Some(outcome) => {
                    let _ = pending.tx.send(outcome);
                }
                None => lane.waiting.push(pending),
            }
        }
        if lane.waiting.is_empty() {
            lane.is_busy = false;
            return None;
        }
        let mut bytes = 0;
        let mut keys = HashSet::new();
        let fits = |pending: &&PendingRow| {
            bytes += pending.row.value.len();
            // The rows of one transaction must not concern each other.
            let is_new = pending.row.absent().all(|key| !keys.contains(key));
            keys.extend(pending.row.absent().cloned());
            bytes <= MAX_BATCH_BYTES && is_new
        };
        let count = lane
            .waiting
            .iter()
            .take(MAX_BATCH_ROWS)
            .take_while(fits)
            .count();
        Some(lane.waiting.drain(..count.max(1)).collect())
    }

    /// Puts rows that were taken for a transaction back at the front of the queue.
    fn requeue(&self, key: &LaneKey, mut rows: Vec<PendingRow>) {
        if let Some(lane) = self.lanes.borrow_mut().get_mut(key) {
            rows.append(&mut lane.waiting);
            lane.waiting = rows;
        }
    }
}

impl<P: Ports> Node<P> {
    /// Stores a row that must not exist yet, without the scheduler's help. Gives up once the table is lost.
    pub(crate) async fn store_locally(&self, row: NewRow, deadline: Instant) -> StoreOutcome {
        let queue = &self.0.write_queue;
        let number = queue.last_number.get() + 1;
        queue.last_number.set(number);
        let (tx, rx) = oneshot::channel();
        let key = LaneKey {
            part: row.key.part.clone(),
            has_jobs: row.guard.is_some(),
        };
        // Another node may have seen a newer version.
        if let Some(guard) = row.guard {
            self.0.guards.observe(&key.part, guard.version);
        }
        let is_idle = {
            let mut lanes = queue.lanes.borrow_mut();
            let lane = lanes.entry(key.clone()).or_default();
            lane.waiting.push(PendingRow {
                number,
                row,
                deadline,
                tx,
            });
            !std::mem::replace(&mut lane.is_busy, true)
        };
        // A row that has to wait for a transaction in flight waits for two answers.
        self.0.metrics.count("accept_trip_events");
        self.0
            .metrics
            .add("accept_trips", if is_idle { 1 } else { 2 });
        if is_idle {
            spawn_local(self.clone().store_lane(key.clone()));
        }
        tokio::pin!(rx);
        let reason = tokio::select! {
            outcome = timeout_at(deadline, &mut rx) => match outcome {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(_)) | Err(_) => "no answer by the deadline",
            },
            () = self.0.table.wait_until_lost() => "the table is lost",
        };
        if queue.remove_unsent(&key, number) {
            return StoreOutcome::NotStored(reason.to_owned());
        }
        // A refused call is what may have marked the table as lost; its certain outcome arrives shortly.
        match timeout_at(deadline.min(Instant::now() + LOST_TABLE_GRACE), rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => StoreOutcome::Unknown(reason.to_owned()),
        }
    }

    /// Stores a row as [`store_locally`](Self::store_locally) does, and expects newer versions of the guard as long as that
    /// is safe.
    pub(crate) async fn store_guarded(&self, row: &mut NewRow, deadline: Instant) -> StoreOutcome {
        loop {
            match self.store_locally(row.clone(), deadline).await {
                StoreOutcome::Outdated(guard) if self.renew_guard(row, guard) => {}
                outcome => return outcome,
            }
        }
    }

    /// Makes a row expect a newer version of the guard, if that is safe. Returns whether it is.
    pub(crate) fn renew_guard(&self, row: &mut NewRow, version: u64) -> bool {
        let retention = self.0.settings.sched.early_cancel_retention;
        row.renew_guard(version, self.0.clock.time(), retention)
    }

    /// Stores the waiting rows of a lane, one transaction at a time, until none are left.
    async fn store_lane(self, key: LaneKey) {
        let guards = &self.0.guards;
        loop {
            let guard = guards.version(&key.part);
            let rows = self.0.write_queue.take_batch(&key, Instant::now(), guard);
            let Some(rows) = rows else {
                return;
            };
            let absent = rows.iter().flat_map(|pending| pending.row.absent());
            let mut expected: Vec<_> = absent.map(|key| (key.clone(), 0)).collect();
            if key.has_jobs {
                expected.push((guard_key(&key.part), guard));
            }
            let tx = Transaction {
                expected,
                set: rows
                    .iter()
                    .map(|pending| (pending.row.key.clone(), pending.row.value.clone()))
                    .collect(),
                delete: Vec::new(),
            };
            let deadline = Instant::now() + BATCH_TIMEOUT;
            // A further attempt is of no use once nobody waits for its outcome.
            let is_unwanted =
                || self.0.table.is_lost() || rows.iter().all(|pending| pending.tx.is_closed());
            let outcome =
                commit::with_retry_unless(&self.0.ports, &tx, deadline, is_unwanted).await;
            let outcome = match outcome {
                Outcome::Stored(version) => StoreOutcome::Stored(version),
                Outcome::NotStored(reason) => StoreOutcome::NotStored(reason),
                Outcome::Unknown(reason) => StoreOutcome::Unknown(reason),
                Outcome::Conflict { current } => {
                    guards.observe_rows(&key.part, &current);
                    let is_outdated = guards.version(&key.part) != guard;
                    self.resolve_conflict(&key, rows, &current, is_outdated);
                    continue;
                }
            };
            for pending in rows {
                // A requester that no longer waits has already answered its client.
                let _ = pending.tx.send(outcome.clone());
            }
        }
    }

    /// Answers the requesters whose rows conflict with those in `current`, and lets the other rows of the transaction wait for
    /// the next one. `is_outdated` tells that the guard did not have the expected version; rows that may not expect the new one
    /// are then refused before the next transaction.
    fn resolve_conflict(
        &self,
        key: &LaneKey,
        rows: Vec<PendingRow>,
        current: &[Row],
        is_outdated: bool,
    ) {
        let existing: HashSet<&str> = current
            .iter()
            .filter(|row| row.version > 0 && row.value.is_some())
            .map(|row| row.key.as_str())
            .collect();
        let count = rows.len();
        let mut others = Vec::new();
        for pending in rows {
            match pending.conflict(&existing) {
                Some(outcome) => {
                    let _ = pending.tx.send(outcome);
                }
                None => others.push(pending),
            }
        }
        if others.len() < count || is_outdated {
            self.0.write_queue.requeue(key, others);
            return;
        }
        let part = &key.part;
        log::error!("event=conflict_unexplained part={part} rows={count}");
        for pending in others {
            let reason = "a conflict that names no row".to_owned();
            let _ = pending.tx.send(StoreOutcome::Unknown(reason));
        }
    }
}

//! Deletes the rows of jobs that ended long ago, and of cancellations of unknown jobs.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use jobs::JobId;
use tokio::time::{Instant, sleep};

use super::Leader;
use crate::{
    Ports, RowKey, Transaction,
    commit::{self, Outcome},
    guard,
    rows::{GuardRow, cancel_key, guard_key, job_key, job_part, job_part_number},
};

/// How often jobs are checked for ones to delete.
const INTERVAL: Duration = Duration::from_secs(5);

/// Ended jobs of a part are deleted at every twelfth check, once a minute. Each deletion changes the part's guard, and each
/// node then needs a second attempt to store its next job there.
const PART_ROUNDS: u64 = 12;

/// The most ended jobs whose rows are deleted per check.
const MAX_ENDED_JOBS: usize = 50;

/// The most jobs in one transaction. Each takes two entries, the guard takes two, and the platform accepts 100 entries.
const BATCH_JOBS: usize = 40;

/// A transaction whose outcome is still unknown after this time is logged and sent again.
const STUCK_AFTER: Duration = Duration::from_secs(2);

impl<P: Ports> Leader<P> {
    /// Periodically deletes the rows of jobs that ended long ago, and expired cancellations of unknown jobs.
    pub(super) async fn forget_jobs(self: Rc<Self>) {
        for round in 0.. {
            sleep(INTERVAL).await;
            self.forget_ended_jobs(round).await;
            self.forget_early_cancels().await;
        }
    }

    async fn forget_ended_jobs(&self, round: u64) {
        let is_due = |id| job_part_number(id) % PART_ROUNDS == round % PART_ROUNDS;
        let now = self.now();
        let expired = (self.scheduler.borrow_mut()).expired_jobs(now, MAX_ENDED_JOBS, is_due);
        for (part, ids) in by_part(expired) {
            for ids in ids.chunks(BATCH_JOBS) {
                let rows = ids.iter().flat_map(|&id| [job_key(id), cancel_key(id)]);
                // The progress must stay until the job's row is known to be deleted: a row without progress
                // would count as a new job.
                if self.delete_rows(&part, Vec::new(), rows.collect()).await {
                    self.scheduler.borrow_mut().forget(ids.iter().copied());
                }
            }
        }
    }

    /// Deletes the cancellations of unknown jobs that have expired, unless the job was stored meanwhile.
    async fn forget_early_cancels(&self) {
        let expired = self.scheduler.borrow().expired_early_cancels(self.now());
        for (part, ids) in by_part(expired) {
            for ids in ids.chunks(BATCH_JOBS) {
                let absent = ids.iter().map(|&id| job_key(id)).collect();
                let cancels = ids.iter().map(|&id| cancel_key(id)).collect();
                // Otherwise the feed delivers the jobs that exist, which are cancelled then. The others are deleted next time.
                if self.delete_rows(&part, absent, cancels).await {
                    let mut scheduler = self.scheduler.borrow_mut();
                    for &id in ids {
                        scheduler.early_cancel_deleted(id);
                    }
                    log::info!("event=early_cancels_deleted count={}", ids.len());
                }
            }
        }
    }

    /// Deletes rows of a part unless a row of `absent` exists, and returns whether it has done so. Changes the guard of the
    /// part, so that no row that was there before is created again by a late write. Retries without a time limit, because a
    /// new transaction could delete rows that are newer than an unanswered one.
    async fn delete_rows(&self, part: &str, absent: Vec<RowKey>, delete: Vec<RowKey>) -> bool {
        let guards = &self.node.0.guards;
        let written = GuardRow {
            epoch: self.epoch(),
            number: self.next_deletion(),
        };
        let absent = absent.into_iter().map(|key| (key, 0));
        let mut tx = Transaction {
            expected: absent
                .chain([(guard_key(part), guards.version(part))])
                .collect(),
            set: vec![(guard_key(part), jobs::encode(&written))],
            delete,
        };
        loop {
            let deadline = Instant::now() + STUCK_AFTER;
            match commit::with_retry(&self.node.0.ports, &tx, deadline).await {
                Outcome::Stored(version) => {
                    guards.observe(part, version);
                    return true;
                }
                Outcome::Conflict { current } => {
                    guards.observe_rows(part, &current);
                    // An earlier attempt was stored, but its answer was lost.
                    if guard::is_written(written, &current) {
                        return true;
                    }
                    let version = guards.version(part);
                    match tx.expected.last_mut() {
                        Some((_, expected)) if *expected != version => *expected = version,
                        _ => {
                            log::info!(
                                "event=rows_not_deleted part={part} reason=\"a job is stored\""
                            );
                            return false;
                        }
                    }
                }
                Outcome::NotStored(reason) | Outcome::Unknown(reason) => {
                    log::warn!("event=deletion_stuck part={part} reason={reason:?}");
                }
            }
        }
    }

    /// Returns a new number of a transaction that deletes rows.
    fn next_deletion(&self) -> u64 {
        let number = self.last_deletion.get() + 1;
        self.last_deletion.set(number);
        number
    }
}

/// Groups jobs by the part of the table with their rows.
fn by_part(ids: Vec<JobId>) -> BTreeMap<String, Vec<JobId>> {
    let mut parts: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
    for id in ids {
        parts.entry(job_part(id)).or_default().push(id);
    }
    parts
}

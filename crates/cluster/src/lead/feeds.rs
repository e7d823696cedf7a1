//! What the scheduler hears of jobs, workers and queues, and jobs that are to be forgotten.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use super::Lead;
use crate::{
    Directory, FeedError, Ports, Row, Table, Transaction, Versioned, WorkerChanges,
    commit::{self, Outcome},
    rows::{JOBS, JobContent, cancel_key, job_key, read_job_row},
};

/// The pause between two reads of new jobs. Each read is a call that is paid for.
const JOBS_PAUSE: Duration = Duration::from_millis(15);

/// The pause between two reads of changes of workers. Each of them renews its entry every 1.5 s, and it
/// may be given work for 2.5 s after it is said to be leaving.
const WORKERS_PAUSE: Duration = Duration::from_millis(400);

/// How long one call waits for changes. It bounds how long a silent connection goes unnoticed.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// How often jobs that are over are looked through for those to be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// The most jobs whose rows are deleted at a time: one transaction of one part each.
const FORGET_JOBS: usize = 50;

/// How long deleting a job's rows is tried.
const FORGET_TIMEOUT: Duration = Duration::from_secs(2);

impl<P: Ports> Lead<P> {
    /// Takes in new jobs and cancellings.
    pub(super) async fn follow_jobs(self: Rc<Self>, mut after: u64) {
        loop {
            match self.node.0.ports.feed(JOBS, after, FEED_WAIT).await {
                Ok(page) => {
                    after = page.version;
                    for row in &page.rows {
                        self.note_job_row(row);
                    }
                    if !page.rows.is_empty() {
                        self.wake.notify_one();
                    }
                    sleep(JOBS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table={JOBS} after={after}");
                    after = self.read_jobs_again().await;
                }
                Err(e @ FeedError::Call(_)) => {
                    log::debug!("jobs unread: {e}");
                    sleep(RETRY).await;
                }
            }
        }
    }

    async fn read_jobs_again(&self) -> u64 {
        let (recovered, after) = crate::recover::read_jobs(&self.node).await;
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (id, job) in recovered.jobs {
            // Rows of jobs that are forgotten here are about to be deleted, and have progress.
            if !recovered.progress.contains_key(&id) {
                scheduler.job_stored(now, id, job);
            }
        }
        for id in recovered.cancelled {
            scheduler.job_cancelled(now, id);
        }
        drop(scheduler);
        self.wake.notify_one();
        after
    }

    fn note_job_row(&self, row: &Row) {
        let now = self.now();
        match read_job_row(row) {
            Some(JobContent::Job(id, job)) => self.scheduler.borrow_mut().job_stored(now, id, *job),
            Some(JobContent::Cancel(id)) => {
                log::info!("event=cancel_seen job={id} version={}", row.version);
                self.scheduler.borrow_mut().job_cancelled(now, id);
            }
            None => {}
        }
    }

    fn note_workers(&self, change: Versioned<WorkerChanges>) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (name, info) in change.value {
            if let Some(info) = info {
                scheduler.worker_listed(now, info);
            } else {
                let version = change.version;
                log::info!("event=worker_unlisted worker={name} version={version}");
                scheduler.worker_unlisted(&name);
            }
        }
    }

    /// Follows the list of workers.
    pub(super) async fn follow_workers(self: Rc<Self>, mut after: u64) {
        loop {
            match self.node.0.ports.worker_changes(after, FEED_WAIT).await {
                Ok(change) => {
                    after = change.version;
                    self.note_workers(change);
                    self.wake.notify_one();
                    sleep(WORKERS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table=workers after={after}");
                    if let Some(version) = self.read_workers_again().await {
                        after = version;
                    }
                }
                Err(e @ FeedError::Call(_)) => {
                    log::debug!("workers unread: {e}");
                    sleep(RETRY).await;
                }
            }
        }
    }

    async fn read_workers_again(&self) -> Option<u64> {
        let change = match self.node.0.ports.workers().await {
            Ok(change) => change,
            Err(e) => {
                log::warn!("event=workers_unread error={:?}", e.to_string());
                sleep(RETRY).await;
                return None;
            }
        };
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let listed: Vec<Arc<str>> = scheduler.listed_workers().cloned().collect();
        for name in listed {
            if !change.value.iter().any(|info| info.name == name) {
                log::info!(
                    "event=worker_unlisted worker={name} version={}",
                    change.version
                );
                scheduler.worker_unlisted(&name);
            }
        }
        for info in change.value {
            scheduler.worker_listed(now, info);
        }
        Some(change.version)
    }

    /// Puts queues in force as the configuration changes.
    pub(super) async fn follow_queues(self: Rc<Self>) {
        loop {
            self.node.0.routes_changed.notified().await;
            self.set_queues();
            self.wake.notify_one();
        }
    }

    /// Deletes the rows of jobs that are over for long.
    pub(super) async fn forget(self: Rc<Self>) {
        loop {
            sleep(FORGET_INTERVAL).await;
            let now = self.now();
            let ids = self
                .scheduler
                .borrow_mut()
                .take_expired_jobs(now, FORGET_JOBS);
            for id in ids {
                let tx = Transaction {
                    delete: vec![job_key(id), cancel_key(id)],
                    ..Transaction::default()
                };
                let outcome =
                    commit::settle(&self.node.0.ports, &tx, Instant::now() + FORGET_TIMEOUT).await;
                // The progress stays until the job's row is surely gone: the row alone would make a new
                // job of it.
                if matches!(outcome, Outcome::Stored(_)) {
                    self.scheduler.borrow_mut().forget([id]);
                } else {
                    log::warn!("event=not_forgotten job={id} outcome={outcome:?}");
                }
            }
        }
    }
}

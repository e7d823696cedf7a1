//! Follows changes of jobs, workers and queues for the scheduler.

use std::{rc::Rc, sync::Arc, time::Duration};

use model::Time;
use sched::{Scheduler, WorkerInfo};
use tokio::time::sleep;

use super::Leader;
use crate::{
    Directory, FeedError, Ports, Row, Table, Versioned, WorkerChanges,
    rows::{JOBS, JobContent, JobRow, parse_job_key, read_job_row},
};

/// The pause between two reads of new jobs. Each read is a paid call.
const JOBS_PAUSE: Duration = Duration::from_millis(15);

/// The pause between two reads of changes of workers. Each worker renews its entry every 1.5 s, and it
/// may be given tasks for 2.5 s after it is listed as leaving.
const WORKERS_PAUSE: Duration = Duration::from_millis(400);

/// How long one call waits for changes. It bounds how long a broken silent connection stays undetected.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl<P: Ports> Leader<P> {
    /// Follows new jobs and cancellations.
    pub(super) async fn follow_jobs(self: Rc<Self>, mut after: u64) {
        loop {
            match self.node.0.ports.feed(JOBS, after, FEED_WAIT).await {
                Ok(page) => {
                    after = page.version;
                    for row in &page.rows {
                        self.apply_job_row(row);
                    }
                    self.broadcast_new_owners();
                    if !page.rows.is_empty() {
                        self.wake.notify_one();
                    }
                    sleep(JOBS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table={JOBS} after={after}");
                    after = self.reread_jobs().await;
                }
                Err(e @ FeedError::Call(_)) => {
                    log::debug!("cannot read jobs: {e}");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads all jobs after the feed has reported that its history is gone. Returns the version from
    /// which to follow them.
    async fn reread_jobs(&self) -> u64 {
        let (recovered, after) = crate::recover::read_jobs(&self.node).await;
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (id, job) in recovered.jobs {
            self.record_owner(id, &job);
            // A job that has ended and is not known was forgotten, and its rows are about to be deleted. Other progress
            // may remain from an announcement that was withdrawn.
            let progress = recovered.progress.get(&id);
            if progress.is_none_or(|progress| progress.outcome().is_none()) {
                scheduler.job_stored(now, id, job);
            }
        }
        for id in recovered.cancelled {
            scheduler.job_cancelled(now, id);
        }
        drop(scheduler);
        self.broadcast_new_owners();
        self.wake.notify_one();
        after
    }

    fn apply_job_row(&self, row: &Row) {
        let now = self.now();
        match read_job_row(row) {
            Some(JobContent::Job(id, job)) => {
                self.record_owner(id, &job);
                self.scheduler.borrow_mut().job_stored(now, id, *job);
            }
            Some(JobContent::Cancel(id)) => {
                log::info!("event=cancel_seen job={id} version={}", row.version);
                self.scheduler.borrow_mut().job_cancelled(now, id);
            }
            None => self.apply_job_row_deletion(row),
        }
    }

    /// Handles a row that was deleted. A job whose row comes after the deletion of its cancellation is a new one.
    fn apply_job_row_deletion(&self, row: &Row) {
        if row.value.is_none()
            && let Some(JobRow::Cancel(id)) = parse_job_key(&row.key)
        {
            self.scheduler.borrow_mut().early_cancel_deleted(id);
        }
    }

    /// Applies changes of the list of workers that were requested at `sent_at`.
    fn apply_worker_changes(&self, sent_at: Time, change: Versioned<WorkerChanges>) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (name, info) in change.value {
            if let Some(info) = info {
                log_resize(&scheduler, &info);
                scheduler.worker_listed(now, info);
            } else if scheduler.worker_unlisted(&name) {
                let version = change.version;
                log::info!("event=worker_unlisted worker={name} version={version}");
            }
        }
        scheduler.workers_read(now, sent_at);
    }

    /// Follows changes of the list of workers.
    pub(super) async fn follow_workers(self: Rc<Self>, mut after: u64) {
        let mut is_unread = false;
        loop {
            let sent_at = self.now().time;
            match self.node.0.ports.worker_changes(after, FEED_WAIT).await {
                Ok(change) => {
                    is_unread = false;
                    after = change.version;
                    self.apply_worker_changes(sent_at, change);
                    self.wake.notify_one();
                    sleep(WORKERS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table=workers after={after}");
                    if let Some(version) = self.reread_workers().await {
                        after = version;
                    }
                }
                Err(e @ FeedError::Call(_)) => {
                    // Soon no task may start. Only the first failure in a row is logged.
                    if !std::mem::replace(&mut is_unread, true) {
                        log::warn!("event=workers_unread error={:?}", e.to_string());
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads all workers after the feed has reported that its history is gone. Returns the version from
    /// which to follow them, or `None` if the call failed.
    async fn reread_workers(&self) -> Option<u64> {
        let sent_at = self.now().time;
        let change = match self.node.0.ports.workers().await {
            Ok(change) => change,
            Err(e) => {
                log::warn!("event=workers_unread error={:?}", e.to_string());
                sleep(RETRY_DELAY).await;
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
            log_resize(&scheduler, &info);
            scheduler.worker_listed(now, info);
        }
        scheduler.workers_read(now, sent_at);
        Some(change.version)
    }

    /// Passes the queues of each new configuration to the scheduler.
    pub(super) async fn follow_queues(self: Rc<Self>) {
        loop {
            self.node.0.routes_changed.notified().await;
            self.set_queues();
            self.wake.notify_one();
        }
    }
}

/// Logs a change of a worker's size within one incarnation.
fn log_resize(scheduler: &Scheduler, info: &WorkerInfo) {
    let Some(id) = scheduler.worker_id(&info.name) else {
        return;
    };
    let old = scheduler.worker_info(id);
    if old.started_unix_ms == info.started_unix_ms && old.size != info.size {
        log::info!(
            "event=worker_resized worker={} processors={} before={} memory_mb={} before={} version={}",
            info.name,
            info.size.milli_processors,
            old.size.milli_processors,
            info.size.memory_mb,
            old.size.memory_mb,
            info.version
        );
    }
}

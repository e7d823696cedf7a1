//! Stops the tasks of jobs that have been cancelled or have ended.

use jobs::{JobId, TaskKey};
use model::{Time, WorkerId};

use crate::{Now, Scheduler};

impl Scheduler {
    /// Handles a job's cancellation by a client, which the table has stored.
    ///
    /// A job that is not known to be stored ends as soon as its row appears. None of its tasks starts before that.
    pub fn job_cancelled(&mut self, now: Now, id: JobId) {
        if self.announced.contains(id) || !self.jobs.contains_key(&id) {
            self.early_cancels.entry(id).or_insert(now.time);
            self.restart_announcement(now, id);
        }
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.progress.cancel() {
            self.job_changed(now.time, id);
        }
    }

    /// Returns the unknown jobs that were cancelled longer ago than the retention period. Once the caller
    /// has deleted the rows of their cancellations, it must pass them to
    /// [`early_cancel_deleted`](Self::early_cancel_deleted).
    #[must_use]
    pub fn expired_early_cancels(&self, now: Now) -> Vec<JobId> {
        let retention = self.cfg.early_cancel_retention;
        let cancels = self.early_cancels.iter();
        let expired = cancels.filter(|&(_, &since)| since + retention <= now.time);
        expired.map(|(&id, _)| id).collect()
    }

    /// Handles the deletion of the cancellation of an unknown job. The job may be submitted again.
    pub fn early_cancel_deleted(&mut self, id: JobId) {
        self.early_cancels.remove(&id);
    }

    /// Cancels a job that was cancelled before its row appeared.
    pub(crate) fn apply_early_cancel(&mut self, now: Now, id: JobId) {
        if self.early_cancels.remove(&id).is_some() {
            self.job_cancelled(now, id);
        }
    }

    /// Returns whether a job was completed, has failed or was cancelled.
    pub(crate) fn has_ended(&self, id: JobId) -> bool {
        let entry = self.jobs.get(&id);
        entry.is_some_and(|entry| entry.ended_at.is_some())
    }

    /// Stops all tasks of a job.
    pub(crate) fn stop_all(&mut self, now: Time, id: JobId) {
        self.stop_assigned(now, id, |_, _| true);
    }

    /// Stops the tasks of a job for which `is_chosen` returns true, given the task's key and run.
    pub(crate) fn stop_assigned(
        &mut self,
        now: Time,
        id: JobId,
        is_chosen: impl Fn(TaskKey, u32) -> bool,
    ) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let runs: Vec<(TaskKey, WorkerId)> = entry
            .progress
            .assigned(id)
            .filter(|&(key, run, _)| is_chosen(key, run))
            .filter_map(|(key, _, incarnation)| Some((key, self.fleet.id(&incarnation.worker)?)))
            .collect();
        for (key, worker) in runs {
            self.stop_run(now, worker, key);
        }
    }
}

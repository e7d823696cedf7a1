//! Stops the tasks of jobs that have been cancelled or have ended.

use jobs::{JobId, TaskKey};
use model::{Time, WorkerId};

use crate::{Now, Scheduler};

impl Scheduler {
    /// Handles a job's cancellation by a client, which the table has stored.
    pub fn job_cancelled(&mut self, now: Now, id: JobId) {
        let is_announced = self.announced.contains(id);
        let Some(entry) = self.jobs.get_mut(&id).filter(|_| !is_announced) else {
            self.early_cancels.insert(id);
            return;
        };
        if entry.progress.cancel() {
            self.job_changed(now.time, id);
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

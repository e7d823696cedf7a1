//! A new scheduler goes on from what the table holds.
//!
//! Each run was stored before its order was sent, so what may run is among the stored runs. A worker's
//! lists, read under the new epoch, tell which of them do: after that, the worker refuses older orders.
//! What a worker that can't be reached may run holds until every lease that the old scheduler could have
//! renewed has lapsed.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{Incarnation, Job, JobId, Progress, TaskKey};

use crate::{
    Now, Scheduler, WorkerInfo,
    worker::{Run, RunPhase},
};

/// What a new scheduler has read from the table.
#[derive(Debug, Default)]
pub struct Recovered {
    /// All jobs.
    pub jobs: Vec<(JobId, Job)>,
    /// The progress of those that have any.
    pub progress: BTreeMap<JobId, Progress>,
    /// Those that were cancelled by a client.
    pub cancelled: BTreeSet<JobId>,
}

impl Scheduler {
    pub(crate) fn recover(&mut self, now: Now, mut recovered: Recovered) {
        let mut runs = Vec::new();
        for (id, job) in recovered.jobs {
            let progress = recovered.progress.remove(&id);
            let progress = progress.unwrap_or_else(|| Progress::new(&job));
            for (key, run, incarnation) in progress.assigned(id) {
                runs.push((key, run, incarnation.clone()));
            }
            self.add_job(now, id, job, progress);
        }
        // Progress without a job is what a deletion has left over.
        self.forgotten.extend(recovered.progress.into_keys());
        for (key, run, incarnation) in runs {
            self.recover_run(now, key, run, &incarnation);
        }
        for id in recovered.cancelled {
            self.job_cancelled(now, id);
        }
    }

    fn recover_run(&mut self, now: Now, key: TaskKey, run: u32, incarnation: &Incarnation) {
        let info = WorkerInfo {
            name: incarnation.worker.clone(),
            started_unix_ms: incarnation.started_unix_ms,
            ..WorkerInfo::default()
        };
        let id = self.fleet.intern(&info);
        if incarnation.started_unix_ms > self.fleet.get(id).info.started_unix_ms {
            self.worker_restarted(now.time, id, incarnation.started_unix_ms);
        }
        let worker = self.fleet.get_mut(id);
        let is_of_earlier_incarnation = incarnation.started_unix_ms < worker.info.started_unix_ms;
        worker.lapse_at = now.time + self.cfg.renew_without_table + self.cfg.lapse_after();
        let size = self
            .jobs
            .get(&key.job)
            .and_then(|entry| entry.job.steps.get(usize::from(key.step)))
            .map(jobs::Step::reserved)
            .unwrap_or_default();
        let run = Run {
            number: run,
            size,
            phase: RunPhase::Recorded,
            confirmed_at: None,
            since: now.time,
            is_of_earlier_incarnation,
            checkpoint: String::new(),
            preemptible_below: self.preemptible_below(key),
        };
        self.fleet.get_mut(id).add_run(key, run);
    }
}

//! Recovery of a new scheduler from the table.
//!
//! Each run was stored before its order was sent, so every run that may be in progress is among the
//! stored runs. A worker's lists, read under the new epoch, show which of them are in progress:
//! from then on the worker refuses orders of earlier epochs. The runs of a worker that cannot be
//! reached keep their capacity until every lease that the old scheduler could have renewed has
//! lapsed, see [`leases`](crate::leases).
//!
//! That a run is to be stopped is not stored. It follows from the job's progress, so the runs of jobs that have ended are
//! stopped again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jobs::{Crash, Incarnation, Job, JobId, Progress, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Now, PastLeases, Scheduler, WorkerInfo,
    worker::{BegunBy, Run, RunPhase},
};

/// The state that a new scheduler has read from the table.
#[derive(Debug, Default)]
pub struct Recovered {
    /// All jobs.
    pub jobs: Vec<(JobId, Job)>,
    /// The progress of the jobs that have any.
    pub progress: BTreeMap<JobId, Progress>,
    /// The jobs that were cancelled by a client.
    pub cancelled: BTreeSet<JobId>,
    /// What is known of leases that were granted before; `None` if nothing is.
    pub leases: Option<PastLeases>,
    /// When the last transaction of this scheduler that is known to be stored was sent; `None` for now.
    pub confirmed_at: Option<Time>,
}

impl Scheduler {
    pub(crate) fn recover(&mut self, now: Now, mut recovered: Recovered) {
        self.confirmed_at = recovered.confirmed_at.unwrap_or(now.time);
        let unknown = || PastLeases::unknown(now.time, &self.cfg);
        self.past_leases = recovered.leases.unwrap_or_else(unknown);
        let mut runs = Vec::new();
        let mut lapsed = Vec::new();
        for (id, job) in recovered.jobs {
            let progress = recovered.progress.remove(&id);
            let stored = progress.filter(|progress| progress.suits(&job));
            let progress = stored.unwrap_or_else(|| Progress::new(&job));
            for (key, run, incarnation) in progress.assigned(id) {
                runs.push((key, run, incarnation.clone()));
            }
            if progress.outcome().is_none() {
                let lapsed_runs = progress.lapsed_runs(id);
                lapsed.extend(lapsed_runs.map(|(key, run, inc)| (key, run, inc.clone())));
            }
            self.add_job(now, id, job, progress);
        }
        // Progress without a job remains when only the job's own rows were deleted, or when a former scheduler has stored
        // it for a job that was announced.
        for (id, progress) in recovered.progress {
            self.add_orphan(now, id, progress);
        }
        for (key, run, incarnation) in runs {
            self.recover_run(now, key, run, &incarnation);
        }
        for (key, run, incarnation) in lapsed {
            self.recover_lapse(now, key, run, &incarnation);
        }
        // The rows show crashes of workers with runs only.
        self.background.forget_workers();
        for id in recovered.cancelled {
            self.job_cancelled(now, id);
        }
    }

    /// Returns the id of the worker of a stored run. A run of a later incarnation than those so far shows that the
    /// worker has restarted.
    fn recover_worker(&mut self, now: Now, incarnation: &Incarnation) -> WorkerId {
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
        // It ran before this scheduler began.
        worker.known_at = Some(Time::ZERO);
        worker.recorded_unix_ms = worker
            .recorded_unix_ms
            .max(Some(incarnation.started_unix_ms));
        id
    }

    pub(crate) fn recover_lapse(
        &mut self,
        now: Now,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
    ) {
        let id = self.recover_worker(now, incarnation);
        let worker = self.fleet.get_mut(id);
        if incarnation.started_unix_ms == worker.info.started_unix_ms {
            worker.lapsed.insert((key, run), None);
            self.await_workers(now.time, key);
        } else {
            let crash = Crash {
                key,
                run,
                is_certain: false,
                is_alone: false,
            };
            self.crashed_under(now.time, id, &crash, now.time, None);
        }
    }

    pub(crate) fn recover_run(
        &mut self,
        now: Now,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
    ) {
        let id = self.recover_worker(now, incarnation);
        let worker = self.fleet.get(id);
        let is_of_earlier_incarnation = incarnation.started_unix_ms < worker.info.started_unix_ms;
        let size = self
            .jobs
            .get(&key.job)
            .and_then(|entry| entry.job.steps.get(usize::from(key.step)))
            .map(jobs::Step::reserved)
            .unwrap_or_default();
        let crash = Crash {
            key,
            run,
            is_certain: false,
            is_alone: false,
        };
        self.recover_leases(now.time, id);
        let is_settled = self.past_leases.is_settled(&incarnation.worker);
        let granted_until = self.past_leases.granted_until();
        let granted_until = granted_until.filter(|_| !is_settled && !self.needs_ticket(key.job));
        if let Some(until) = granted_until {
            let until = until.max(now.time) + self.cfg.late_start;
            let worker = self.fleet.get_mut(id);
            worker.start_unanswered(now.time, key, run, until);
            worker.may_grant(until, &self.cfg);
        }
        let run = Run {
            number: run,
            size,
            charge: self.charge(key.step_key()),
            phase: RunPhase::Recorded,
            confirmed_at: None,
            since: now.time,
            stop_due: Duration::ZERO,
            orders_lapse_at: Time::ZERO,
            former_orders_until: granted_until.unwrap_or_default(),
            has_begun: false,
            begun_by: if is_settled {
                BegunBy::Known
            } else {
                BegunBy::Any
            },
            is_of_earlier_incarnation,
            crash: is_of_earlier_incarnation.then_some(crash),
            checkpoint: String::new(),
            suspicion: self.suspicion(key),
            is_repeated: self.is_repeated(key.step_key()),
            preemptible_below: self.preemptible_below(key),
        };
        self.fleet.get_mut(id).add_run(key, run);
        // The stop orders of the former scheduler may not have arrived.
        if self.has_ended(key.job) {
            self.stop_run(now.time, id, key);
        }
    }
}

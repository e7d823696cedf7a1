//! Handles the ends of runs, including those of lost workers.

use jobs::{Crash, End, EndKind, Incarnation, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Action, Interruption, Listing, Scheduler,
    worker::{BegunBy, Run, RunPhase},
};

impl Scheduler {
    /// Applies the end of a run to the job's progress. Returns whether anything changed.
    pub(crate) fn apply_end(&mut self, now: Time, end: &End) -> bool {
        let id = end.key.job;
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let max_failures = self.policy(&entry.job).max_failures;
        let is_gang = self.is_gang(end.key);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return false;
        };
        if !entry.progress.end(&entry.job, end, max_failures) {
            return false;
        }
        self.needs_pass = true;
        self.job_changed(now, id);
        if is_gang && end.kind == EndKind::Interrupted {
            self.stop_gang(now, end.key, end.run);
        }
        true
    }

    /// Records the duration of a successful run, unless its start is not known to this scheduler.
    pub(crate) fn record_run_time(&mut self, now: Time, key: TaskKey, run: &Run) {
        if run.phase == RunPhase::Recorded || run.since == Time::ZERO {
            return;
        }
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(step) = entry.job.steps.get(usize::from(key.step)) else {
            return;
        };
        let estimate = std::time::Duration::from_millis(step.estimate_ms);
        self.run_times
            .record(&entry.job.queue.name, estimate, now - run.since);
    }

    /// Ends a run as interrupted, and reports why. The run must not be in progress on the worker, nor may it
    /// begin there later.
    pub(crate) fn interrupt(
        &mut self,
        now: Time,
        worker: WorkerId,
        key: TaskKey,
        cause: Interruption,
    ) {
        if let Some(run) = self.withdraw(now, worker, key) {
            self.actions.push(Action::Interrupted {
                key,
                run,
                worker,
                cause,
            });
        }
    }

    /// Ends a run as interrupted, so that its task waits again and resumes from the last checkpoint. Returns
    /// the run's number. Without a report, this is for runs whose start was not ordered yet.
    pub(crate) fn withdraw(&mut self, now: Time, worker: WorkerId, key: TaskKey) -> Option<u32> {
        let run = self.fleet.get_mut(worker).remove_run(now, &key)?;
        self.needs_pass = true;
        if let Some(crash) = run.crash {
            // A run that this scheduler has not started is as old as the takeover, or older.
            let is_own = run.orders_lapse_at > Time::ZERO;
            self.crashed_under(now, worker, &crash, run.since, is_own.then_some(run.since));
        }
        let end = End {
            key,
            run: run.number,
            kind: EndKind::Interrupted,
            checkpoint: run.checkpoint,
        };
        self.apply_end(now, &end);
        Some(run.number)
    }

    /// Returns whether a task is a member of a gang.
    pub(crate) fn is_gang(&self, key: TaskKey) -> bool {
        let entry = self.jobs.get(&key.job);
        let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.step)));
        step.is_some_and(|step| step.gang)
    }

    /// Stops the other members of a gang's run, which cannot work without the one that ended.
    pub(crate) fn stop_gang(&mut self, now: Time, member: TaskKey, run: u32) {
        let step = member.step_key();
        self.stop_assigned(now, member.job, |key, number| {
            number == run && key.step_key() == step
        });
    }

    /// Handles a restart of a worker, whose new incarnation started at `started_unix_ms`. The runs
    /// of the earlier incarnation are gone, but orders in flight may still reach the new one until it
    /// has seen a higher fencing token. So the runs keep their capacity until the new incarnation's
    /// lists have been read with a poll that carries it.
    pub(crate) fn worker_restarted(&mut self, now: Time, id: WorkerId, started_unix_ms: u64) {
        let lapse_at = now + self.cfg.longest_lapse();
        self.incarnation_ended(now, id);
        let worker = self.fleet.get_mut(id);
        worker.begin_incarnation(now, started_unix_ms);
        worker.lapse_at = worker.lapse_at.max(lapse_at);
        self.actions.push(Action::Restarted {
            worker: id,
            started_unix_ms,
            leases_last: worker.known_leases_end() - now,
        });
        for run in worker.runs.values_mut() {
            if run.phase != RunPhase::Pending {
                run.is_of_earlier_incarnation = true;
                run.begun_by = BegunBy::Any;
                // The leases of its orders name times on the old clock.
                run.orders_lapse_at = Time::MAX;
            }
        }
        self.renew_stops(now, id);
    }

    /// Notes the end of a worker's incarnation for the runs that it had, or may have had, and counts it as a crash for
    /// those that had lapsed before. A worker that was about to leave has not crashed, and one whose incarnation was not
    /// known may not have.
    fn incarnation_ended(&mut self, now: Time, id: WorkerId) {
        let worker = self.fleet.get_mut(id);
        let lapsed = std::mem::take(&mut worker.lapsed);
        if worker.info.is_draining || worker.info.started_unix_ms == 0 {
            return;
        }
        let keys: Vec<TaskKey> = worker.runs.keys().copied().collect();
        let lapsed_tasks = lapsed.keys().map(|&(key, _)| key);
        let tasks = keys.iter().copied().chain(lapsed_tasks).collect();
        self.note_worker_crash(now, id, tasks);
        let worker = self.fleet.get_mut(id);
        let alone: Vec<bool> = (keys.iter())
            .map(|key| worker.has_only(key.step_key()))
            .collect();
        for ((&key, run), is_alone) in worker.runs.iter_mut().zip(alone) {
            if run.phase != RunPhase::Pending && !run.is_of_earlier_incarnation {
                run.crash = Some(Crash {
                    key,
                    run: run.number,
                    is_certain: run.has_begun,
                    is_alone,
                });
            }
        }
        for ((key, run), since) in lapsed {
            let crash = Crash {
                key,
                run,
                is_certain: false,
                is_alone: false,
            };
            self.crashed_under(now, id, &crash, now, since);
        }
    }

    /// Counts a crash of a worker for a task whose run was started at `since`, or was found then. `own_since` is when this
    /// scheduler has started it, if it has.
    pub(crate) fn crashed_under(
        &mut self,
        now: Time,
        worker: WorkerId,
        crash: &Crash,
        since: Time,
        own_since: Option<Time>,
    ) {
        let limit = self.cfg.crash_limit;
        let Some(entry) = self.jobs.get_mut(&crash.key.job) else {
            return;
        };
        let step = entry.job.steps.get(usize::from(crash.key.step));
        let is_long_running = step.is_some_and(|step| step.is_long_running);
        if is_long_running && now >= since + self.cfg.long_running_trial {
            entry.progress.clear_crashes(crash.key);
        }
        let Some(counted) = entry.progress.crashed(&entry.job, crash, limit) else {
            return;
        };
        let weight = self.weigh_crash(now, worker, crash, counted, own_since);
        self.await_workers(now, crash.key);
        self.actions.push(Action::Crashed {
            crash: *crash,
            worker,
            count: counted.count,
            weight,
        });
        self.job_changed(now, crash.key.job);
    }

    /// Remembers that a run has lapsed on a worker that is silent, for the case that it has crashed.
    fn remember_lapse(&mut self, now: Time, id: WorkerId, key: TaskKey, run: u32) {
        let worker = self.fleet.get_mut(id);
        let current = worker.runs.get(&key);
        if current.is_some_and(|run| run.crash.is_some()) {
            return;
        }
        let own = current.filter(|run| run.orders_lapse_at > Time::ZERO);
        let since = own.map(|run| run.since);
        let incarnation = Incarnation {
            worker: worker.info.name.clone(),
            started_unix_ms: worker.info.started_unix_ms,
        };
        if let Some(entry) = self.jobs.get_mut(&key.job) {
            worker.lapsed.insert((key, run), since);
            entry.progress.lapsed(key, run, incarnation);
            self.await_workers(now, key);
        }
    }

    /// Makes a task wait for the silent workers that may have crashed under it, if they and those that have would reach the
    /// limit. Long-running tasks do not wait: they are expected to be there all the time.
    pub(crate) fn await_workers(&mut self, now: Time, key: TaskKey) {
        let limit = self.cfg.crash_limit;
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let step = entry.job.steps.get(usize::from(key.step));
        let may_wait = step.is_some_and(|step| !step.is_long_running);
        if may_wait && entry.progress.may_reach_limit(&entry.job, key, limit) {
            let until = now + self.cfg.return_wait;
            let awaiting = self.awaiting_workers.entry(key).or_insert(until);
            if *awaiting <= now {
                *awaiting = until;
            }
        } else {
            self.awaiting_workers.remove(&key);
        }
    }

    /// Returns whether a silent worker that may have crashed under a task, or under its gang, may come back. One that the
    /// directory no longer lists is gone.
    pub(crate) fn may_return(&self, key: TaskKey) -> bool {
        let Some(entry) = self.jobs.get(&key.job) else {
            return false;
        };
        let is_gang = self.is_gang(key);
        let is_same =
            |other: TaskKey| other == key || (is_gang && other.step_key() == key.step_key());
        let mut lapsed = entry.progress.lapsed_runs(key.job);
        lapsed.any(|(other, _, incarnation)| {
            let worker = self.fleet.id(&incarnation.worker);
            is_same(other) && worker.is_some_and(|id| self.fleet.get(id).is_listed)
        })
    }

    /// Forgets the runs that have lapsed on a worker that was only silent.
    pub(crate) fn forget_lapses(&mut self, now: Time, id: WorkerId) {
        for ((key, run), _) in std::mem::take(&mut self.fleet.get_mut(id).lapsed) {
            let entry = self.jobs.get_mut(&key.job);
            if entry.is_some_and(|entry| entry.progress.forget_lapse(key, run)) {
                self.await_workers(now, key);
                self.job_changed(now, key.job);
            }
        }
    }

    /// Ends or stops the runs of earlier incarnations after the lists of the new one have been
    /// read. A run that is not listed is gone, because the orders for it are refused from now on;
    /// the others are stopped. A run whose start was confirmed after the lists were requested at
    /// `sent_at` is left to the next lists.
    pub(crate) fn end_earlier_incarnations(
        &mut self,
        now: Time,
        worker: WorkerId,
        sent_at: Time,
        listing: &Listing,
    ) {
        let is_older = |run: &Run| run.confirmed_at.is_none_or(|at| at < sent_at);
        let runs = self.fleet.get(worker).runs.iter();
        let past: Vec<(TaskKey, u32, Time)> = runs
            .filter(|(_, run)| run.is_of_earlier_incarnation && is_older(run))
            .map(|(&key, run)| (key, run.number, run.former_orders_until))
            .collect();
        for (key, run, former_orders_until) in past {
            let is_listed = listing
                .running
                .iter()
                .any(|row| row.key == key && row.run == run);
            if !is_listed {
                // This incarnation refuses the order of an earlier scheduler, but one after it would not.
                if former_orders_until <= sent_at {
                    self.interrupt(now, worker, key, Interruption::Restarted);
                } else if self.is_gang(key) {
                    self.stop_gang(now, key, run);
                }
                continue;
            }
            if let Some(run) = self.fleet.get_mut(worker).runs.get_mut(&key) {
                run.is_of_earlier_incarnation = false;
                run.crash = None;
                // What the earlier incarnation has confirmed, a stop included, says nothing about this one.
                run.phase = RunPhase::Running;
            }
            self.stop_run(now, worker, key);
        }
    }

    /// Handles the replacement of a worker by another one at the same address. The new worker
    /// refuses orders that are meant for the old one.
    pub(crate) fn worker_replaced(&mut self, now: Time, worker: WorkerId) {
        let keys: Vec<TaskKey> = self.fleet.get(worker).runs.keys().copied().collect();
        self.incarnation_ended(now, worker);
        let gone = self.fleet.get_mut(worker);
        gone.is_listed = false;
        gone.is_synced = false;
        gone.retain_strays(|_, _| false);
        for key in keys {
            self.interrupt(now, worker, key, Interruption::Replaced);
        }
    }

    /// Ends the runs whose leases have certainly lapsed.
    pub(crate) fn end_lapsed(&mut self, now: Time) {
        let mut lapsed: Vec<(WorkerId, TaskKey, u32)> = Vec::new();
        let mut any_strays = false;
        for worker in self.fleet.iter_mut() {
            if now < worker.known_leases_end() {
                continue;
            }
            let has_lapsed =
                |run: &Run| run.phase != RunPhase::Pending && now >= worker.lease_end(run);
            let before = lapsed.len();
            let runs = worker.runs.iter().filter(|(_, run)| has_lapsed(run));
            lapsed.extend(runs.map(|(&key, run)| (worker.id, key, run.number)));
            let has_strays = worker.retain_strays(|_, _| false);
            any_strays |= has_strays;
            if lapsed.len() > before || has_strays {
                // The worker's lists must be read again before it gets new work.
                worker.is_synced = false;
            }
        }
        self.needs_pass |= any_strays;
        for (worker, key, run) in lapsed {
            self.remember_lapse(now, worker, key, run);
            self.interrupt(now, worker, key, Interruption::Lapsed);
        }
    }
}

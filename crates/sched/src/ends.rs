//! Runs that have ended.

use jobs::{End, EndKind, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Listing, Scheduler,
    worker::{Run, RunPhase},
};

impl Scheduler {
    /// Takes note of the end of a run in the job's progress.
    pub(crate) fn apply_end(&mut self, now: Time, end: &End) {
        let id = end.key.job;
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let max_failures = self.policy(&entry.job).max_failures;
        let is_gang = entry
            .job
            .steps
            .get(usize::from(end.key.step))
            .is_some_and(|step| step.gang);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if !entry.progress.end(&entry.job, end, max_failures) {
            return;
        }
        self.needs_pass = true;
        self.changed(now, id);
        if is_gang && end.kind == EndKind::Interrupted {
            self.stop_gang(now, end.key, end.run);
        }
    }

    /// Notes how long a good run took.
    pub(crate) fn learn(&mut self, now: Time, key: TaskKey, run: &Run) {
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
            .note(&entry.job.queue.name, estimate, now - run.since);
    }

    /// Ends a run that a worker does not have, or has lost with all that it did since its checkpoint.
    pub(crate) fn interrupt(&mut self, now: Time, worker: WorkerId, key: TaskKey) {
        let Some(run) = self.fleet.get_mut(worker).remove_run(&key) else {
            return;
        };
        self.needs_pass = true;
        let end = End {
            key,
            run: run.number,
            kind: EndKind::Interrupted,
            checkpoint: run.checkpoint,
        };
        self.apply_end(now, &end);
    }

    /// Stops the other members of a gang's run. They can do nothing without the one that is gone.
    fn stop_gang(&mut self, now: Time, member: TaskKey, run: u32) {
        let step = member.step_key();
        self.stop_assigned(now, member.job, |key, of| {
            of == run && key.step_key() == step
        });
    }

    /// A worker has begun another life, at `started_unix_ms`. What it ran is gone, but orders that are on their way
    /// may still reach the new life. So its runs hold until its lists are read.
    pub(crate) fn life_over(&mut self, now: Time, worker: WorkerId, started_unix_ms: u64) {
        let lapse_at = now + self.cfg.lapse_after();
        let worker = self.fleet.get_mut(worker);
        let has_runs = !worker.runs.is_empty();
        worker.begin_life(started_unix_ms);
        if has_runs {
            worker.lapse_at = lapse_at;
        }
        for run in worker.runs.values_mut() {
            if run.phase != RunPhase::Pending {
                run.is_of_past_life = true;
            }
        }
    }

    /// The lists of a worker's new life are read. What they do not show and no order of this scheduler
    /// can bring any more is gone; the rest is stopped. Orders of earlier schedulers are refused from now
    /// on. A run whose start was answered after the lists were asked for at `sent_at` may have begun in the
    /// new life after them: the next lists tell.
    pub(crate) fn end_past_life(
        &mut self,
        now: Time,
        worker: WorkerId,
        sent_at: Time,
        listing: &Listing,
    ) {
        let is_older = |run: &Run| run.confirmed_at.is_none_or(|at| at < sent_at);
        let runs = self.fleet.get(worker).runs.iter();
        let past: Vec<(TaskKey, u32, bool)> = runs
            .filter(|(_, run)| run.is_of_past_life && is_older(run))
            .map(|(&key, run)| (key, run.number, run.may_still_begin()))
            .collect();
        for (key, run, may_still_begin) in past {
            let is_listed = listing
                .running
                .iter()
                .any(|row| row.key == key && row.run == run);
            if !is_listed && !may_still_begin {
                self.interrupt(now, worker, key);
                continue;
            }
            if let Some(run) = self.fleet.get_mut(worker).runs.get_mut(&key) {
                run.is_of_past_life = false;
            }
            self.stop_run(now, worker, key);
        }
    }

    /// A worker is gone, and another one has its address. Orders to the old one are refused there.
    pub(crate) fn worker_replaced(&mut self, now: Time, worker: WorkerId) {
        let keys: Vec<TaskKey> = self.fleet.get(worker).runs.keys().copied().collect();
        let gone = self.fleet.get_mut(worker);
        gone.is_listed = false;
        gone.is_open = false;
        for key in keys {
            self.interrupt(now, worker, key);
        }
    }

    /// Ends the runs whose leases have surely lapsed.
    pub(crate) fn end_lapsed(&mut self, now: Time) {
        let mut lapsed: Vec<(WorkerId, TaskKey)> = Vec::new();
        for worker in self.fleet.iter_mut() {
            if now < worker.lapse_at {
                continue;
            }
            let was_sent = |run: &Run| run.phase != RunPhase::Pending;
            let before = lapsed.len();
            let runs = worker.runs.iter().filter(|(_, run)| was_sent(run));
            lapsed.extend(runs.map(|(&key, _)| (worker.id, key)));
            if lapsed.len() > before {
                // Its lists have to be read again before it gets new work.
                worker.is_open = false;
            }
        }
        for (worker, key) in lapsed {
            self.interrupt(now, worker, key);
        }
    }
}

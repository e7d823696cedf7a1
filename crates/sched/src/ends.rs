//! Runs that have ended.

use jobs::{End, EndKind, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Scheduler,
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
            run: run.run,
            kind: EndKind::Interrupted,
            checkpoint: run.checkpoint,
        };
        self.apply_end(now, &end);
    }

    /// Stops the other members of a gang's run. They can do nothing without the one that is gone.
    fn stop_gang(&mut self, now: Time, member: TaskKey, run: u32) {
        let Some(entry) = self.jobs.get(&member.job) else {
            return;
        };
        let others: Vec<(TaskKey, WorkerId)> = entry
            .progress
            .assigned(member.job)
            .filter(|&(key, of, _)| of == run && key.step_key() == member.step_key())
            .filter_map(|(key, _, life)| Some((key, self.fleet.id(&life.worker)?)))
            .collect();
        for (key, worker) in others {
            self.stop_run(now, worker, key);
        }
    }

    /// A worker's life is over: nothing that it ran is left. The next one began at `born`.
    pub(crate) fn life_over(&mut self, now: Time, worker: WorkerId, born: u64) {
        let keys: Vec<TaskKey> = self.fleet.get(worker).runs.keys().copied().collect();
        self.fleet.get_mut(worker).begin_life(born);
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

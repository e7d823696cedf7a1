//! Places tasks that are suspected to crash the workers that start them.
//!
//! A crash shows only which tasks the worker had, not which of them has caused it. After a crash, further tasks of the
//! step start on few workers at a time until one of them has succeeded. A task under which workers have crashed
//! repeatedly starts apart from other work: a further crash then shows that the task is the cause, and harms nothing
//! else.

use jobs::{StepKey, TaskKey};
use model::{Size, Time, WorkerId};

use crate::{
    Action, Scheduler,
    decide::{Demand, Pass, TicketFilter},
    entry::Entry,
    fit,
    fleet::index,
    worker::{Run, RunPhase, Suspicion, Worker},
};

/// The number of workers that are polled at once because none has answered recently enough.
const MAX_PROBES: usize = 3;

/// The result of placing a task that is suspected to crash workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    On(WorkerId),
    /// Workers with room are polled first, or have suspected tasks of other steps.
    Waits,
    /// No worker has room.
    NoRoom,
}

impl Scheduler {
    /// Returns how far a task is suspected to crash the workers that start it. It is not while the evidence points to
    /// the workers. The members of a gang are suspected together. Long-running tasks are expected to be there all the
    /// time, so they do not wait for each other's trials.
    pub(crate) fn suspicion(&self, key: TaskKey) -> Suspicion {
        let Some(entry) = self.jobs.get(&key.job) else {
            return Suspicion::None;
        };
        let progress = &entry.progress;
        if !progress.has_crashes() {
            return Suspicion::None;
        }
        let Some(step) = entry.job.steps.get(usize::from(key.step)) else {
            return Suspicion::None;
        };
        let is_near_limit =
            |key| progress.crash_count(key) + 1 >= self.cfg.crash_limit && self.is_blamed(key);
        let is_strong = if step.gang {
            (0..step.tasks).any(|index| is_near_limit(key.step_key().task(index)))
        } else {
            is_near_limit(key)
        };
        if is_strong {
            Suspicion::Strong
        } else if !step.is_long_running
            && progress.is_suspect(key.step_key())
            && self.is_step_blamed(key.step_key())
        {
            Suspicion::Possible
        } else {
            Suspicion::None
        }
    }

    /// Returns whether tasks of a step that wait have to be placed by [`place_suspects`](Self::place_suspects). A gang
    /// starts whole, so only a strong suspicion changes how it is placed.
    pub(crate) fn has_suspects(&self, demand: &Demand) -> bool {
        let entry = self.jobs.get(&demand.key.job);
        if entry.is_none_or(|entry| !entry.progress.has_crashes())
            || !self.is_step_blamed(demand.key)
        {
            return false;
        }
        let least = if demand.step().gang {
            Suspicion::Strong
        } else {
            Suspicion::Possible
        };
        let is_suspected = |&index: &u32| self.suspicion(demand.key.task(index)) >= least;
        demand.tasks.iter().any(is_suspected)
    }

    /// Places the waiting tasks of a step of which some are suspected to crash workers.
    pub(crate) fn place_suspects(&mut self, now: Time, mut demand: Demand, pass: &mut Pass) {
        if demand.step().gang {
            self.place_gang_apart(now, &demand, pass);
            return;
        }
        let mut strong = Vec::new();
        let mut possible = Vec::new();
        let mut others = Vec::new();
        for &index in &demand.tasks {
            match self.suspicion(demand.key.task(index)) {
                Suspicion::Strong => strong.push(index),
                Suspicion::Possible => possible.push(index),
                Suspicion::None => others.push(index),
            }
        }
        if demand.step().is_long_running {
            for &task in &strong {
                self.place_apart(now, &demand, task, pass);
            }
        } else if let Some(&task) = strong.first()
            && !self.has_isolated_run(demand.key)
        {
            // One at a time: a further crash fails the job, and the others are then not started.
            self.place_apart(now, &demand, task, pass);
        }
        self.place_trials(now, &demand, &possible, pass);
        if !others.is_empty() {
            demand.tasks = others;
            self.place_others(now, &demand, pass);
        }
    }

    /// Starts a task on the worker that has the least other work, among those that have just answered and have no other
    /// such task.
    fn place_one(&mut self, now: Time, demand: &Demand, task: u32, pass: &mut Pass) -> Placed {
        let size = demand.step().reserved();
        let mut candidates = self.candidates(now, demand, TicketFilter::Valid, pass);
        candidates.retain(|c| c.slots > 0 && size.fits(&c.free));
        if candidates.is_empty() {
            return Placed::NoRoom;
        }
        candidates.retain(|c| !self.fleet.get(c.worker).has_suspects());
        candidates.sort_by_key(|c| (self.fleet.get(c.worker).run_count(), !c.is_near, c.worker));
        let workers: Vec<WorkerId> = candidates.iter().map(|c| c.worker).collect();
        if let Some(&worker) = workers.iter().find(|&&id| self.is_in_contact(now, id)) {
            pass.take(size, &[worker]);
            self.start(now, demand.key, &[task], &[worker]);
            return Placed::On(worker);
        }
        self.probe(now, workers.into_iter().take(MAX_PROBES));
        Placed::Waits
    }

    /// Returns whether a worker has answered so recently that a crash soon after its next start would not be one that
    /// came before.
    fn is_in_contact(&self, now: Time, worker: WorkerId) -> bool {
        let heard_at = self.fleet.get(worker).heard_at;
        heard_at.is_some_and(|at| now <= at + self.cfg.trial_contact)
    }

    /// Polls workers at once.
    fn probe(&mut self, now: Time, workers: impl IntoIterator<Item = WorkerId>) {
        for id in workers {
            self.fleet.get_mut(id).probed_at = Some(now);
            self.actions.push(Action::Wake(id));
        }
    }

    /// Starts a task on a worker that gets no further work meanwhile.
    fn place_apart(&mut self, now: Time, demand: &Demand, task: u32, pass: &mut Pass) {
        match self.place_one(now, demand, task, pass) {
            Placed::On(worker) => pass.free[index(worker)] = Size::ZERO,
            Placed::Waits => {}
            Placed::NoRoom => self.prepare(now, demand, 1, pass),
        }
    }

    /// Starts a gang on workers that get no further work meanwhile, without other work if there are enough such
    /// workers. If it is not known which members had begun when workers crashed, each gets a worker of its own.
    fn place_gang_apart(&mut self, now: Time, demand: &Demand, pass: &mut Pass) {
        let (size, count) = (demand.step().reserved(), demand.tasks.len());
        let entry = self.jobs.get(&demand.key.job);
        let is_uncertain = |entry: &Entry| entry.progress.has_uncertain_crashes(demand.key);
        let spreads = entry.is_some_and(is_uncertain) && self.may_spread(now, demand);
        let candidates = self.candidates(now, demand, TicketFilter::Valid, pass);
        let placed = [true, false].into_iter().find_map(|only_idle| {
            let mut chosen = candidates.clone();
            chosen.retain(|c| {
                let worker = self.fleet.get(c.worker);
                !worker.has_suspects() && (!only_idle || worker.is_idle())
            });
            if spreads {
                for c in &mut chosen {
                    c.slots = c.slots.min(1);
                }
            }
            let placed = fit::place(&mut chosen, size, count, demand.step().one_rack);
            (placed.len() == count).then_some((placed, only_idle))
        });
        let Some((placed, are_idle)) = placed else {
            self.renew_gang_tickets(now, demand);
            self.widen(now, demand, pass);
            return;
        };
        let silent = (placed.iter().copied()).filter(|&id| !self.is_in_contact(now, id));
        let silent: Vec<WorkerId> = silent.collect();
        // A worker with work may be in the middle of a long poll.
        if are_idle && !silent.is_empty() {
            self.probe(now, silent);
            return;
        }
        for &worker in &placed {
            pass.free[index(worker)] = Size::ZERO;
        }
        self.start(now, demand.key, &demand.tasks, &placed);
    }

    /// Returns whether there may be a worker for each task of a step, though some of them may be down or busy now.
    fn may_spread(&self, now: Time, demand: &Demand) -> bool {
        let size = demand.step().reserved();
        let holds = |worker: &&Worker| worker.is_listed && size.fits(&worker.info.size);
        let count = match self.approvals.get(&demand.key) {
            Some(approvals) if demand.approval.is_some() => {
                self.allowed_workers(approvals).filter(holds).count()
            }
            _ => {
                let is_in_pool = |worker: &&Worker| worker.info.pool == demand.pool;
                self.fleet.iter().filter(is_in_pool).filter(holds).count()
            }
        };
        count >= demand.tasks.len()
            || (demand.approval.is_some() && !self.unasked(now, demand).is_empty())
    }

    /// Starts a few tasks of a suspected step, each on a worker of its own: a crash must not count for tasks that have
    /// not begun.
    fn place_trials(&mut self, now: Time, demand: &Demand, tasks: &[u32], pass: &mut Pass) {
        let limit = self
            .cfg
            .max_trials
            .saturating_sub(self.trial_count(demand.key));
        for &task in tasks.iter().take(limit) {
            match self.place_one(now, demand, task, pass) {
                Placed::On(_) => {}
                Placed::Waits => return,
                Placed::NoRoom => return self.prepare(now, demand, 1, pass),
            }
        }
    }

    /// Starts tasks that are not suspected.
    fn place_others(&mut self, now: Time, demand: &Demand, pass: &mut Pass) {
        let count = demand.tasks.len();
        let placed = self.fit(now, demand, count, TicketFilter::Valid, pass);
        if !placed.is_empty() {
            pass.take(demand.step().reserved(), &placed);
            self.start(now, demand.key, &demand.tasks, &placed);
        }
        if placed.len() < count {
            self.prepare(now, demand, count - placed.len(), pass);
        }
    }

    /// Ends the suspicion against long-running tasks that have run long enough.
    pub(crate) fn end_long_trials(&mut self, now: Time) {
        let trial = self.cfg.long_running_trial;
        for worker in self.fleet.iter_mut().filter(|worker| worker.has_suspects()) {
            let is_over = |key: &TaskKey, run: &Run| {
                let entry = self.jobs.get(&key.job);
                let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.step)));
                let is_long_running = step.is_some_and(|step| step.is_long_running);
                is_long_running && run.phase == RunPhase::Running && now >= run.since + trial
            };
            self.needs_pass |= worker.clear_suspicion(is_over);
        }
    }

    /// Returns the runs of a step that its workers have, or may have.
    fn runs_of(&self, step: StepKey) -> impl Iterator<Item = &Run> {
        let entry = self.jobs.get(&step.job).into_iter();
        let assigned = entry.flat_map(move |entry| entry.progress.assigned(step.job));
        assigned
            .filter(move |(key, _, _)| key.step_key() == step)
            .filter_map(|(key, _, incarnation)| {
                let id = self.fleet.id(&incarnation.worker)?;
                self.fleet.get(id).runs.get(&key)
            })
    }

    /// Returns the number of a step's runs that were started under suspicion.
    fn trial_count(&self, step: StepKey) -> usize {
        let trials = self.runs_of(step);
        trials
            .filter(|run| run.suspicion != Suspicion::None)
            .count()
    }

    fn has_isolated_run(&self, step: StepKey) -> bool {
        self.runs_of(step)
            .any(|run| run.suspicion == Suspicion::Strong)
    }
}

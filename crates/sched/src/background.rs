//! Remembers which workers have crashed lately, and weighs the crashes under tasks by what happened to other workers.
//!
//! A crash is weighed at once, and again until [`SchedConfig::crash_settle`](crate::SchedConfig) has passed, because
//! workers that have crashed at the same time are noticed one after the other. Only then may its job be given up. What
//! was weighed is stored with the job; the crashes of workers are kept in memory only.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
    time::Duration,
};

use jobs::{CountedCrash, Crash, Incarnation, Job, StepKey, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Action, Scheduler,
    evidence::{self, Exposure, HISTORY, Span},
    worker::Steadiness,
};

/// The pause between two weighings of crashes that are not settled, while further workers are noticed to have crashed.
const WEIGH_PAUSE: Duration = Duration::from_millis(250);

/// By how much the times of two crashes may differ that have one cause: a lost connection is noticed at once, and a poll
/// without an answer after 0.7 s.
const NOTICE_DELAY: Duration = Duration::from_millis(700);

/// The number of crashes within the [`HISTORY`] from which a worker gets little work.
const UNSTEADY_CRASHES: usize = 3;

/// If more than one in this many workers crash again and again, nothing is gained by sparing them.
const UNSTEADY_SHARE: usize = 4;

/// A crash of a worker.
#[derive(Debug)]
struct WorkerCrash {
    worker: WorkerId,
    /// When it has crashed.
    span: Span,
    noticed_at: Time,
    /// The tasks that it had, or may have had.
    tasks: Vec<TaskKey>,
    /// Until when it had a run of a task under whose step workers had crashed before; `None` if it had none.
    had_suspects_until: Option<Time>,
}

impl WorkerCrash {
    fn has(&self, step: StepKey) -> bool {
        self.tasks.iter().any(|key| key.step_key() == step)
    }
}

/// A crash under a task that may have to be weighed again.
#[derive(Debug)]
struct Weighing {
    worker: WorkerId,
    /// From the start of the run to the crash. A run that this scheduler has not started begins at the start of the
    /// process.
    span: Span,
    is_own_run: bool,
    /// The least time from the start of the run to the crash.
    delay: Duration,
    /// When all crashes at the same time are noticed; `None` if they are, and all evidence is stored.
    due: Option<Time>,
    /// Whether there are enough crashes to give the job up.
    is_enough: bool,
    /// Whether the gang's members whose workers have not crashed are still to be relieved.
    may_spare: bool,
    /// The evidence as known now.
    weight: i32,
    /// The part of it that is stored with the job.
    stored: i32,
    /// The number of workers of the gang's run, if this is the first crash that was noticed in the run of a gang. Each run
    /// counts once against the gang as a whole.
    gang_workers: Option<u32>,
    /// The evidence against the gang as a whole, and the part of it that is stored.
    gang_weight: i32,
    gang_stored: i32,
}

impl Weighing {
    /// Returns whether the crashes at the same time are still remembered, so that it can be weighed again.
    fn may_change(&self, now: Time) -> bool {
        self.delay <= HISTORY / 6 && now < self.span.until + HISTORY / 2
    }

    /// Sets the weights. `crashed` is the number of workers that have crashed in the run if the task is one of a gang.
    fn set(&mut self, exposure: &Exposure, crashed: Option<u32>) {
        if let Some(crashed) = crashed {
            self.weight = exposure.member_weight();
            if let Some(workers) = self.gang_workers {
                self.gang_weight = exposure.gang_weight(crashed, workers);
            }
        } else {
            self.weight = exposure.weight();
        }
    }
}

/// A crash that all crashes at the same time are known of.
#[derive(Debug)]
struct Settled {
    key: TaskKey,
    run: u32,
    is_enough: bool,
    /// Whether the crashes at the same time, which are few, may turn out to have been caused by other tasks.
    may_be_explained: bool,
    /// The evidence beyond what is stored already.
    weight: i32,
    gang_weight: i32,
    /// The evidence against the members of the gang whose workers have not crashed.
    surviving: Option<i32>,
}

/// The crashes of workers, and the crashes under tasks that are not settled.
#[derive(Debug, Default)]
pub(crate) struct Background {
    crashes: VecDeque<WorkerCrash>,
    /// By task and run.
    weighings: BTreeMap<(TaskKey, u32), Weighing>,
    /// Whether a crash was noticed since the last weighing.
    is_dirty: bool,
    weighed_at: Time,
    /// When this scheduler began to notice crashes.
    since: Time,
}

impl Background {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Forgets which workers have crashed.
    pub(crate) fn forget_workers(&mut self) {
        self.crashes.clear();
    }

    fn weighings_of(&self, key: TaskKey) -> impl Iterator<Item = &Weighing> {
        let runs = self.weighings.range((key, 0)..=(key, u32::MAX));
        runs.map(|(_, weighing)| weighing)
    }

    /// Returns when [`Scheduler::settle_crashes`] next has something to do.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.weighings.values().filter_map(|w| w.due).min()
    }
}

impl Scheduler {
    /// Notes that a worker has crashed that had, or may have had, these tasks.
    pub(crate) fn note_worker_crash(&mut self, now: Time, id: WorkerId, tasks: Vec<TaskKey>) {
        let is_attributed = tasks.iter().any(|&key| self.is_attributed(key));
        let worker = self.fleet.get_mut(id);
        let until = worker.silent_since.unwrap_or(now);
        let span = Span {
            from: worker.heard_at.map_or(Time::ZERO, |at| at.min(until)),
            until,
        };
        let had_suspects_until = if worker.has_repeated_runs(until) {
            Some(until)
        } else {
            worker.had_repeated_until
        };
        if !is_attributed && had_suspects_until.is_none_or(|at| at < span.from) {
            worker.crashed_at.retain(|&at| now < at + HISTORY);
            worker.crashed_at.push_back(now);
        }
        let crash = WorkerCrash {
            worker: id,
            span,
            noticed_at: now,
            tasks,
            had_suspects_until,
        };
        self.background.crashes.push_back(crash);
        self.background.is_dirty = true;
    }

    /// Weighs a crash that was counted, and stores the part of its weight that is certain. The run was started by this
    /// scheduler at `since`, if it was. Returns the weight.
    pub(crate) fn weigh_crash(
        &mut self,
        now: Time,
        worker: WorkerId,
        crash: &Crash,
        counted: CountedCrash,
        since: Option<Time>,
    ) -> i32 {
        let mut crashes = self.background.crashes.iter().rev();
        let last = crashes.find(|other| other.worker == worker);
        let span = last.map_or(
            Span {
                from: now,
                until: now,
            },
            |last| last.span,
        );
        let mut weighing = Weighing {
            worker,
            span: Span {
                from: since.unwrap_or(Time::ZERO).min(span.until),
                until: span.until,
            },
            is_own_run: since.is_some(),
            delay: since.map_or(Duration::ZERO, |since| span.from - since),
            due: Some(now + self.cfg.crash_settle),
            is_enough: counted.is_enough,
            weight: 0,
            stored: 0,
            gang_workers: None,
            may_spare: false,
            gang_weight: 0,
            gang_stored: 0,
        };
        let step = crash.key.step_key();
        let is_gang = self.is_gang(crash.key);
        let members = (step.task(0), 0)..=(step.task(u32::MAX), u32::MAX);
        let mut known = self.background.weighings.range(members);
        if is_gang && !known.any(|(&(_, run), _)| run == crash.run) {
            weighing.gang_workers = Some(self.gang_workers(step, crash.run));
            weighing.may_spare = true;
        }
        let explained = self.explained_crashes();
        let exposure = self.exposure(now, &weighing, crash.key, &explained);
        weighing.set(&exposure, is_gang.then_some(1));
        weighing.stored = evidence::unsettled(weighing.weight);
        weighing.gang_stored = evidence::unsettled(weighing.gang_weight);
        if let Some(entry) = self.jobs.get_mut(&crash.key.job) {
            entry.progress.add_weight(crash.key, weighing.stored);
            if weighing.gang_stored != 0 {
                (entry.progress).add_gang_weight(step, weighing.gang_stored);
            }
        }
        let weight = weighing.weight;
        let key = (crash.key, crash.run);
        self.background.weighings.insert(key, weighing);
        weight
    }

    /// Weighs the crashes again that are not settled, and gives up the jobs whose tasks are proven to crash their workers.
    pub(crate) fn settle_crashes(&mut self, now: Time) {
        let background = &mut self.background;
        while (background.crashes.front()).is_some_and(|crash| crash.noticed_at + HISTORY <= now) {
            background.crashes.pop_front();
        }
        if background.weighings.is_empty() {
            return;
        }
        let is_due = background.next_due().is_some_and(|due| due <= now);
        let may_weigh = background.is_dirty && now >= background.weighed_at + WEIGH_PAUSE;
        if !is_due && !may_weigh {
            return;
        }
        background.weighed_at = now;
        background.is_dirty = false;
        self.needs_pass = true;
        let explained = self.explained_crashes();
        let mut weighings = std::mem::take(&mut self.background.weighings);
        weighings.retain(|_, weighing| weighing.due.is_some() || weighing.may_change(now));
        let mut gangs: BTreeMap<(StepKey, u32), BTreeSet<WorkerId>> = BTreeMap::new();
        for (&(key, run), weighing) in &weighings {
            if self.is_gang(key) {
                let workers = gangs.entry((key.step_key(), run)).or_default();
                workers.insert(weighing.worker);
            }
        }
        let crashed = |step: StepKey, run: u32| {
            let workers = gangs.get(&(step, run))?;
            u32::try_from(workers.len()).ok()
        };
        for (&(key, run), weighing) in weighings.iter_mut().filter(|(_, w)| w.due.is_some()) {
            let step = key.step_key();
            let exposure = self.exposure(now, weighing, key, &explained);
            weighing.set(&exposure, crashed(step, run));
        }
        let is_due = |weighing: &Weighing| weighing.due.is_some_and(|due| due <= now);
        let due: Vec<(TaskKey, u32)> = (weighings.iter())
            .filter(|(_, weighing)| is_due(weighing))
            .map(|(&key, _)| key)
            .collect();
        let mut settled = Vec::new();
        for (key, run) in due {
            // Crashes that were taken for the background may be explained by now.
            let earlier = weighings.range_mut((key, 0)..=(key, run));
            for (&(_, run), weighing) in earlier {
                if weighing.due.is_some_and(|due| due > now) {
                    continue;
                }
                let exposure = self.exposure(now, weighing, key, &explained);
                weighing.set(&exposure, crashed(key.step_key(), run));
                settled.push(Settled {
                    key,
                    run,
                    is_enough: weighing.is_enough,
                    may_be_explained: !exposure.has_many_crashes() && weighing.may_change(now),
                    weight: weighing.weight - weighing.stored,
                    gang_weight: weighing.gang_weight - weighing.gang_stored,
                    surviving: (std::mem::take(&mut weighing.may_spare))
                        .then(|| exposure.surviving_weight()),
                });
                weighing.stored = weighing.weight;
                weighing.gang_stored = weighing.gang_weight;
                weighing.due = None;
            }
        }
        self.background.weighings = weighings;
        for settled in settled {
            self.crash_settled(now, &settled);
        }
    }

    /// Stores the evidence of a crash. Gives the job up if there is enough, unless further crashes under the task are not
    /// settled.
    fn crash_settled(&mut self, now: Time, settled: &Settled) {
        let key = settled.key;
        let step = key.step_key();
        let is_gang = self.is_gang(key);
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let progress = &mut entry.progress;
        progress.add_weight(key, settled.weight);
        if settled.gang_weight != 0 {
            progress.add_gang_weight(step, settled.gang_weight);
        }
        if let Some(weight) = settled.surviving {
            for member in progress.spared(step, settled.run) {
                progress.add_weight(member, weight);
            }
        }
        let weight = if is_gang {
            progress.gang_weight(step)
        } else {
            progress.weight(key)
        };
        let weight = weight.unwrap_or_default();
        let is_proven = weight >= evidence::limit(candidates(&entry.job))
            && settled.is_enough
            && !self.background.weighings_of(key).any(|w| w.due.is_some());
        let may_be_proven = settled.is_enough && settled.may_be_explained && !is_proven;
        if is_proven && progress.give_up() {
            self.actions.push(Action::GivenUp { key, weight });
        }
        self.job_changed(now, key.job);
        if may_be_proven {
            // The task does not start before it is known.
            let weighing = self.background.weighings.get_mut(&(key, settled.run));
            if let Some(weighing) = weighing {
                weighing.due = Some(now + self.cfg.crash_settle);
            }
        }
    }

    /// Returns the evidence against a task, including what is not settled; `None` if none was weighed.
    fn weight_of(&self, key: TaskKey) -> Option<i32> {
        let stored = self.jobs.get(&key.job)?.progress.weight(key)?;
        let open = self.background.weighings_of(key);
        Some(stored + open.map(|w| w.weight - w.stored).sum::<i32>())
    }

    /// Returns the strongest evidence against a gang or its members, including what is not settled.
    fn gang_weight_of(&self, step: StepKey) -> Option<i32> {
        let progress = &self.jobs.get(&step.job)?.progress;
        let members = progress.crashed_tasks(step);
        let members = members.filter_map(|key| self.weight_of(key));
        members.chain(progress.gang_weight(step)).max()
    }

    fn is_attributed(&self, key: TaskKey) -> bool {
        (self.strongest_weight(key)).is_some_and(evidence::is_attributed)
    }

    /// Returns the evidence against a task, or the strongest against its gang, including what is not settled.
    fn strongest_weight(&self, key: TaskKey) -> Option<i32> {
        if self.is_gang(key) {
            self.gang_weight_of(key.step_key())
        } else {
            self.weight_of(key)
        }
    }

    /// Returns whether a task rather than its workers seems to be the cause of the crashes under it. Those of a gang's
    /// members count together. Without evidence, as in the rows of the build before, the task is the cause.
    pub(crate) fn is_blamed(&self, key: TaskKey) -> bool {
        let Some(entry) = self.jobs.get(&key.job) else {
            return false;
        };
        let step = key.step_key();
        let (weight, count) = if self.is_gang(key) {
            let members = entry.progress.crashed_tasks(step);
            let counts = members.map(|member| entry.progress.crash_count(member));
            (self.gang_weight_of(step), counts.max().unwrap_or_default())
        } else {
            (self.weight_of(key), entry.progress.crash_count(key))
        };
        count > 0 && weight.is_none_or(|weight| evidence::is_blamed(weight, count))
    }

    /// Returns the number of workers that have, or may have, a run of a gang.
    fn gang_workers(&self, step: StepKey, run: u32) -> u32 {
        let entry = self.jobs.get(&step.job).into_iter();
        let assigned = entry.flat_map(|entry| entry.progress.assigned(step.job));
        let members = assigned.filter(|(key, number, _)| key.step_key() == step && *number == run);
        let workers: BTreeSet<&Incarnation> = members.map(|(_, _, worker)| worker).collect();
        u32::try_from(workers.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns whether workers have crashed under a step, and no task of it has succeeded.
    pub(crate) fn is_repeated(&self, step: StepKey) -> bool {
        let entry = self.jobs.get(&step.job);
        entry.is_some_and(|entry| entry.progress.is_suspect(step))
    }

    /// Returns whether any task of a step is blamed for crashes.
    pub(crate) fn is_step_blamed(&self, step: StepKey) -> bool {
        let Some(entry) = self.jobs.get(&step.job) else {
            return false;
        };
        let mut crashed = entry.progress.crashed_tasks(step);
        crashed.any(|key| self.is_blamed(key))
    }

    /// Returns whether a task waits because its job may have to be given up once the crashes under it are settled. Other
    /// crashes at the same time may yet be explained, and then count no longer for the workers.
    pub(crate) fn awaits_verdict(&self, key: TaskKey) -> bool {
        let weighings = || self.background.weighings_of(key);
        if !weighings().any(|w| w.is_enough && w.due.is_some()) {
            return false;
        }
        let Some(entry) = self.jobs.get(&key.job) else {
            return false;
        };
        let weight = self.strongest_weight(key);
        let more: i32 = weighings().map(|w| evidence::open_weight(w.weight)).sum();
        weight.is_some_and(|weight| weight + more >= evidence::limit(candidates(&entry.job)))
    }

    /// Returns which of the remembered crashes are explained by a task that the worker had.
    fn explained_crashes(&self) -> Vec<bool> {
        let crashes = self.background.crashes.iter();
        let is_explained =
            |crash: &WorkerCrash| crash.tasks.iter().any(|&key| self.is_attributed(key));
        crashes.map(is_explained).collect()
    }

    /// Returns whether a crash under a task is explained by a task of another step that the worker had as well.
    fn is_explained_otherwise(&self, crash: &WorkerCrash, key: TaskKey) -> bool {
        let own = self.strongest_weight(key);
        let others = crash
            .tasks
            .iter()
            .filter(|other| other.step_key() != key.step_key());
        let weights = others.map(|&other| self.strongest_weight(other));
        let mut explaining = weights.filter(|&weight| weight > own);
        explaining.any(|weight| weight.is_some_and(evidence::is_attributed))
    }

    /// Returns what happened to other workers while a task had a run. Left out are workers that had other tasks of its
    /// step or of steps under which workers had crashed before, whether they have crashed or not: these tasks may
    /// crash their workers.
    fn exposure(
        &self,
        now: Time,
        weighing: &Weighing,
        key: TaskKey,
        explained: &[bool],
    ) -> Exposure {
        let step = key.step_key();
        let span = Span {
            until: weighing.span.until + NOTICE_DELAY,
            ..weighing.span
        };
        let own = self.fleet.get(weighing.worker);
        let mut exposure = Exposure {
            watched: (now - self.background.since).min(HISTORY),
            delay: weighing.delay,
            is_own_run: weighing.is_own_run,
            ..Exposure::default()
        };
        let mut crashed = HashSet::new();
        let mut left_out = HashSet::new();
        for (crash, &is_explained) in self.background.crashes.iter().zip(explained) {
            let may_be_background = !is_explained && !crash.has(step);
            let had_suspects = (crash.had_suspects_until).is_some_and(|at| at >= crash.span.from);
            let is_background = may_be_background && !had_suspects;
            exposure.past_crashes += u32::from(may_be_background);
            if crash.worker == weighing.worker {
                if is_explained && crash.span.until == weighing.span.until {
                    exposure.is_explained = self.is_explained_otherwise(crash, key);
                }
                exposure.own_crashes += u32::from(is_background);
                continue;
            }
            if crash.span.overlaps(&span) {
                let set = if is_background {
                    &mut crashed
                } else {
                    &mut left_out
                };
                set.insert(crash.worker);
            }
        }
        let mut rack = Count::default();
        let mut domain = Count::default();
        for worker in self.fleet.iter() {
            exposure.fleet += u32::from(worker.is_listed);
            if worker.id == own.id {
                continue;
            }
            let is_known = worker.known_at.is_some_and(|at| at <= span.from);
            let mut has_crashed = crashed.contains(&worker.id);
            if !is_known || (!has_crashed && !worker.is_listed) {
                continue;
            }
            if !has_crashed {
                let had_suspects = worker.has_repeated_runs(span.until)
                    || worker.had_repeated_until.is_some_and(|at| at >= span.from);
                if left_out.contains(&worker.id) || had_suspects || worker.count_of(step) > 0 {
                    continue;
                }
                // A worker that does not answer may have crashed as well.
                if let Some(at) = worker.silent_since {
                    if at < span.from {
                        continue;
                    }
                    has_crashed = at <= span.until;
                }
            }
            exposure.others += 1;
            exposure.crashed += u32::from(has_crashed);
            if own.info.rack.is_some() && own.info.rack == worker.info.rack {
                rack.add(has_crashed);
            }
            if own.info.domain == worker.info.domain {
                domain.add(has_crashed);
            }
        }
        let neighbours = if rack.is_worse_than(domain) {
            rack
        } else {
            domain
        };
        exposure.neighbours = neighbours.all;
        exposure.crashed_neighbours = neighbours.crashed;
        exposure
    }

    /// Determines which workers crash again and again, unless many do.
    pub(crate) fn update_unsteady(&mut self, now: Time) {
        let mut unsteady = 0;
        let mut listed = 0;
        for worker in self.fleet.iter_mut() {
            worker.crashed_at.retain(|&at| now < at + HISTORY);
            let is_unsteady = worker.crashed_at.len() >= UNSTEADY_CRASHES;
            worker.steadiness = if is_unsteady {
                Steadiness::Unsteady
            } else {
                Steadiness::Steady
            };
            unsteady += usize::from(is_unsteady && worker.is_listed);
            listed += usize::from(worker.is_listed);
        }
        if unsteady * UNSTEADY_SHARE > listed {
            for worker in self.fleet.iter_mut() {
                worker.steadiness = Steadiness::Steady;
            }
        }
    }
}

/// A number of workers, and of those that have crashed.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: u32,
    crashed: u32,
}

impl Count {
    fn add(&mut self, has_crashed: bool) {
        self.all += 1;
        self.crashed += u32::from(has_crashed);
    }

    /// Returns whether more than one and a greater share of the workers have crashed.
    fn is_worse_than(self, other: Self) -> bool {
        let product = |a: u32, b: u32| u64::from(a) * u64::from(b);
        self.crashed > 1 && product(self.crashed, other.all) > product(other.crashed, self.all)
    }
}

/// Returns the number of tasks and of gangs of a job, each of which may be found to crash its workers.
fn candidates(job: &Job) -> u32 {
    let steps = job.steps.iter();
    steps.fold(0, |sum: u32, step| {
        sum.saturating_add(step.tasks)
            .saturating_add(u32::from(step.gang))
    })
}

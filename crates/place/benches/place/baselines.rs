//! The interface between driver and policy, and the baseline policies.

use std::collections::BTreeMap;

use model::{Kind, Repeat, Size, TaskId, Team, Time, Unit, UnitId, Usage, WorkerId};
use place::{Decision, NextState, Placer, TaskEnd, WaitingTask, WorkerSpec};

/// A placement policy, as the driver uses it.
pub(crate) trait Policy {
    fn team(&mut self, team: &Team);
    fn worker(&mut self, spec: WorkerSpec);
    fn submit(&mut self, now: Time, id: &UnitId, unit: &Unit);
    fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) -> NextState;
    fn report_usage(&mut self, now: Time, task: &TaskId, usage: Usage);
    fn cancel(&mut self, now: Time, id: &UnitId, out: &mut Vec<Decision>);
    fn decide(&mut self, now: Time, out: &mut Vec<Decision>);
    /// Returns whether `decide` must be called again at once.
    fn has_more(&self) -> bool;
}

/// Returns all tasks of a unit as waiting tasks without failures.
pub(crate) fn waiting(unit: &Unit) -> Vec<WaitingTask> {
    (0..unit.kind.tasks())
        .map(|index| WaitingTask { index, failures: 0 })
        .collect()
}

impl Policy for Placer {
    fn team(&mut self, team: &Team) {
        self.set_team(team);
    }

    fn worker(&mut self, spec: WorkerSpec) {
        self.add_worker(spec);
        self.open_worker(Time::ZERO, spec.id);
    }

    fn submit(&mut self, now: Time, id: &UnitId, unit: &Unit) {
        self.add_unit(id, unit);
        if let Err(e) = self.enqueue(now, id, &waiting(unit)) {
            panic!("{id} is refused: {e}");
        }
    }

    fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) -> NextState {
        Self::task_ended(self, now, task, end)
    }

    fn report_usage(&mut self, now: Time, task: &TaskId, usage: Usage) {
        Self::report_usage(self, now, task, usage);
    }

    fn cancel(&mut self, now: Time, id: &UnitId, out: &mut Vec<Decision>) {
        Self::cancel(self, now, id, out);
    }

    fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        Self::decide(self, now, out);
    }

    fn has_more(&self) -> bool {
        self.next_wake() == Some(Time::ZERO)
    }
}

/// How a [`Scan`] chooses a worker and orders its units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The first worker with room; units are served in order of arrival.
    FirstFit,
    /// The worker with the most free processors; units are served in order of arrival.
    LeastLoaded,
    /// The first worker with room; units are served by class, then in order of arrival. This is the
    /// policy that the placer replaced.
    ClassFirst,
}

#[derive(Clone, Debug)]
struct QueuedUnit {
    unit: Unit,
    waiting: Vec<u32>,
    failures: BTreeMap<u32, u32>,
    is_cancelled: bool,
}

/// A policy that scans all workers for each task.
#[derive(Clone, Debug)]
pub(crate) struct Scan {
    rule: Rule,
    /// The quota and the used size of each team.
    teams: BTreeMap<String, (Size, Size)>,
    /// The workers with their used sizes.
    workers: Vec<(WorkerSpec, Size)>,
    units: BTreeMap<UnitId, QueuedUnit>,
    queue: Vec<UnitId>,
    /// The worker's index and the size of each running task.
    allocations: BTreeMap<TaskId, (usize, Size)>,
    needs_pass: bool,
}

impl Scan {
    pub(crate) fn new(rule: Rule) -> Self {
        Self {
            rule,
            teams: BTreeMap::new(),
            workers: Vec::new(),
            units: BTreeMap::new(),
            queue: Vec::new(),
            allocations: BTreeMap::new(),
            needs_pass: true,
        }
    }

    /// Returns the index of a worker with room for a task, if the team's quota allows it.
    fn find_worker(&self, unit: &Unit) -> Option<usize> {
        let (quota, used) = self.teams[&unit.team];
        if !(used + unit.size).fits(&quota) {
            return None;
        }
        let mut fitting = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, (spec, used))| (*used + unit.size).fits(&spec.size));
        let found = match self.rule {
            Rule::FirstFit | Rule::ClassFirst => fitting.next(),
            Rule::LeastLoaded => fitting.max_by_key(|(i, (spec, used))| {
                let free = spec.size - *used;
                (free.milli_processors, std::cmp::Reverse(*i))
            }),
        };
        found.map(|(i, _)| i)
    }

    fn allocate(&mut self, task: TaskId, worker: usize, unit: &Unit) {
        self.workers[worker].1 += unit.size;
        if let Some((_, used)) = self.teams.get_mut(&unit.team) {
            *used += unit.size;
        }
        self.allocations.insert(task, (worker, unit.size));
    }

    fn release(&mut self, task: &TaskId) {
        let Some((worker, size)) = self.allocations.remove(task) else {
            return;
        };
        self.workers[worker].1 -= size;
        let team = &self.units[&task.unit].unit.team;
        if let Some((_, used)) = self.teams.get_mut(team) {
            *used -= size;
        }
    }

    /// Starts as many waiting tasks of a unit as there is room for; a gang starts whole or not at
    /// all.
    fn start(&mut self, id: &UnitId, out: &mut Vec<Decision>) {
        let queued = &self.units[id];
        let unit = queued.unit.clone();
        let waiting = queued.waiting.clone();
        let begun = out.len();
        for index in &waiting {
            let Some(worker) = self.find_worker(&unit) else {
                break;
            };
            let task = TaskId::new(id, *index);
            self.allocate(task.clone(), worker, &unit);
            out.push(Decision::Start {
                task,
                worker: self.workers[worker].0.id,
                size: unit.size,
            });
        }
        let started = out.len() - begun;
        if matches!(unit.kind, Kind::Gang { .. }) && started < waiting.len() {
            for decision in out.split_off(begun) {
                if let Decision::Start { task, .. } = decision {
                    self.release(&task);
                }
            }
        } else if let Some(queued) = self.units.get_mut(id) {
            queued.waiting.drain(..started);
        }
    }
}

impl Policy for Scan {
    fn team(&mut self, team: &Team) {
        let account = (team.quota, Size::ZERO);
        self.teams.insert(team.name.clone(), account);
    }

    fn worker(&mut self, spec: WorkerSpec) {
        self.workers.push((spec, Size::ZERO));
    }

    fn submit(&mut self, _now: Time, id: &UnitId, unit: &Unit) {
        let queued = QueuedUnit {
            unit: unit.clone(),
            waiting: (0..unit.kind.tasks()).collect(),
            failures: BTreeMap::new(),
            is_cancelled: false,
        };
        self.units.insert(id.clone(), queued);
        let class = |id: &UnitId| std::cmp::Reverse(self.units[id].unit.class);
        let at = match self.rule {
            Rule::ClassFirst => self.queue.partition_point(|o| class(o) <= class(id)),
            Rule::FirstFit | Rule::LeastLoaded => self.queue.len(),
        };
        self.queue.insert(at, id.clone());
        self.needs_pass = true;
    }

    fn task_ended(&mut self, _now: Time, task: &TaskId, end: TaskEnd) -> NextState {
        self.release(task);
        self.needs_pass = true;
        let Some(queued) = self.units.get_mut(&task.unit) else {
            return NextState::Done;
        };
        if end == TaskEnd::Succeeded || queued.is_cancelled {
            return NextState::Done;
        }
        let failures = queued.failures.entry(task.index).or_default();
        *failures += u32::from(end.is_failure());
        let is_never_repeated = queued.unit.repeat == Repeat::Never;
        if *failures >= queued.unit.attempts || is_never_repeated {
            let reason = "all attempts failed".to_owned();
            return NextState::GivenUp { reason };
        }
        queued.waiting.push(task.index);
        if !self.queue.contains(&task.unit) {
            let unit = queued.clone();
            self.submit(Time::ZERO, &task.unit, &unit.unit);
            self.units.insert(task.unit.clone(), unit);
        }
        NextState::Waiting
    }

    fn report_usage(&mut self, _now: Time, _task: &TaskId, _usage: Usage) {}

    fn cancel(&mut self, _now: Time, id: &UnitId, out: &mut Vec<Decision>) {
        self.queue.retain(|other| other != id);
        let Some(queued) = self.units.get_mut(id) else {
            return;
        };
        queued.is_cancelled = true;
        queued.waiting.clear();
        for index in 0..queued.unit.kind.tasks() {
            let task = TaskId::new(id, index);
            if let Some((worker, _)) = self.allocations.get(&task) {
                let worker: WorkerId = self.workers[*worker].0.id;
                out.push(Decision::Stop { task, worker });
            }
        }
    }

    fn decide(&mut self, _now: Time, out: &mut Vec<Decision>) {
        if !std::mem::take(&mut self.needs_pass) {
            return;
        }
        for id in self.queue.clone() {
            self.start(&id, out);
        }
        self.queue.retain(|id| !self.units[id].waiting.is_empty());
    }

    fn has_more(&self) -> bool {
        false
    }
}

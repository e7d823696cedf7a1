//! The policies that the placer is measured against.

use std::collections::BTreeMap;

use model::{Kind, Repeat, Size, TaskId, Team, Time, Unit, UnitId, Usage, WorkerId};
use place::{Decision, NextState, Placer, TaskEnd, WaitingTask, WorkerSpec};

/// What the driver asks of a policy.
pub(crate) trait Policy {
    fn team(&mut self, team: &Team);
    fn worker(&mut self, spec: WorkerSpec);
    fn submit(&mut self, now: Time, id: &UnitId, unit: &Unit);
    fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) -> NextState;
    fn report_usage(&mut self, now: Time, task: &TaskId, usage: Usage);
    fn cancel(&mut self, now: Time, id: &UnitId, out: &mut Vec<Decision>);
    fn decide(&mut self, now: Time, out: &mut Vec<Decision>);
    /// Whether the last call of `decide` left something to do at once.
    fn has_more(&self) -> bool;
}

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

/// How a [`Scan`] chooses its worker and orders its units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The first worker with room; units in order of arrival.
    FirstFit,
    /// The worker with the most free processors; units in order of arrival.
    LeastLoaded,
    /// The project's policy before: the first worker with room, units by class, then by arrival.
    Previous,
}

#[derive(Clone, Debug)]
struct Queued {
    unit: Unit,
    waiting: Vec<u32>,
    failures: BTreeMap<u32, u32>,
    cancelled: bool,
}

/// A policy that looks at all workers for each task.
#[derive(Clone, Debug)]
pub(crate) struct Scan {
    rule: Rule,
    teams: BTreeMap<String, (Size, Size)>,
    workers: Vec<(WorkerSpec, Size)>,
    units: BTreeMap<UnitId, Queued>,
    order: Vec<UnitId>,
    placed: BTreeMap<TaskId, (usize, Size)>,
    dirty: bool,
}

impl Scan {
    pub(crate) fn new(rule: Rule) -> Self {
        Self {
            rule,
            teams: BTreeMap::new(),
            workers: Vec::new(),
            units: BTreeMap::new(),
            order: Vec::new(),
            placed: BTreeMap::new(),
            dirty: true,
        }
    }

    fn find(&self, unit: &Unit) -> Option<usize> {
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
            Rule::FirstFit | Rule::Previous => fitting.next(),
            Rule::LeastLoaded => fitting.max_by_key(|(i, (spec, used))| {
                let free = spec.size - *used;
                (free.milli_processors, std::cmp::Reverse(*i))
            }),
        };
        found.map(|(i, _)| i)
    }

    fn reserve(&mut self, task: TaskId, worker: usize, unit: &Unit) {
        self.workers[worker].1 += unit.size;
        if let Some((_, used)) = self.teams.get_mut(&unit.team) {
            *used += unit.size;
        }
        self.placed.insert(task, (worker, unit.size));
    }

    fn release(&mut self, task: &TaskId) {
        let Some((worker, size)) = self.placed.remove(task) else {
            return;
        };
        self.workers[worker].1 -= size;
        let team = &self.units[&task.unit].unit.team;
        if let Some((_, used)) = self.teams.get_mut(team) {
            *used -= size;
        }
    }

    fn start(&mut self, id: &UnitId, out: &mut Vec<Decision>) {
        let queued = &self.units[id];
        let unit = queued.unit.clone();
        let waiting = queued.waiting.clone();
        let begun = out.len();
        for index in &waiting {
            let Some(worker) = self.find(&unit) else {
                break;
            };
            let task = TaskId::new(id, *index);
            self.reserve(task.clone(), worker, &unit);
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
        let queued = Queued {
            unit: unit.clone(),
            waiting: (0..unit.kind.tasks()).collect(),
            failures: BTreeMap::new(),
            cancelled: false,
        };
        self.units.insert(id.clone(), queued);
        let class = |id: &UnitId| std::cmp::Reverse(self.units[id].unit.class);
        let at = match self.rule {
            Rule::Previous => self.order.partition_point(|o| class(o) <= class(id)),
            Rule::FirstFit | Rule::LeastLoaded => self.order.len(),
        };
        self.order.insert(at, id.clone());
        self.dirty = true;
    }

    fn task_ended(&mut self, _now: Time, task: &TaskId, end: TaskEnd) -> NextState {
        self.release(task);
        self.dirty = true;
        let Some(queued) = self.units.get_mut(&task.unit) else {
            return NextState::Done;
        };
        if end == TaskEnd::Succeeded || queued.cancelled {
            return NextState::Done;
        }
        let failures = queued.failures.entry(task.index).or_default();
        *failures += u32::from(end.is_failure());
        let never = queued.unit.repeat == Repeat::Never;
        if *failures >= queued.unit.attempts || never {
            let reason = "all attempts failed".to_owned();
            return NextState::GivenUp { reason };
        }
        queued.waiting.push(task.index);
        if !self.order.contains(&task.unit) {
            let unit = queued.clone();
            self.submit(Time::ZERO, &task.unit, &unit.unit);
            self.units.insert(task.unit.clone(), unit);
        }
        NextState::Waiting
    }

    fn report_usage(&mut self, _now: Time, _task: &TaskId, _usage: Usage) {}

    fn cancel(&mut self, _now: Time, id: &UnitId, out: &mut Vec<Decision>) {
        self.order.retain(|other| other != id);
        let Some(queued) = self.units.get_mut(id) else {
            return;
        };
        queued.cancelled = true;
        queued.waiting.clear();
        for index in 0..queued.unit.kind.tasks() {
            let task = TaskId::new(id, index);
            if let Some((worker, _)) = self.placed.get(&task) {
                let worker: WorkerId = self.workers[*worker].0.id;
                out.push(Decision::Stop { task, worker });
            }
        }
    }

    fn decide(&mut self, _now: Time, out: &mut Vec<Decision>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        for id in self.order.clone() {
            self.start(&id, out);
        }
        self.order.retain(|id| !self.units[id].waiting.is_empty());
    }

    fn has_more(&self) -> bool {
        false
    }
}

//! A [`Placer`] with independent bookkeeping, which checks each of its decisions.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    Class, Kind, RackId, Repeat, RequestPolicy, Size, Spread, TaskId, Team, Time, Unit, UnitId,
    WorkerId,
};
use place::{
    Decision, NextState, PlaceConfig, Placer, TaskEnd, Unplaceable, WaitingTask, WorkerSpec,
};

/// A running task.
#[derive(Clone, Debug)]
pub struct Running {
    pub worker: WorkerId,
    pub since: Time,
    /// When the task ends.
    pub ends: Time,
    /// How the task ends.
    pub end: TaskEnd,
}

/// A placer, its workers, teams and units, and what their tasks do on a virtual clock.
#[derive(Clone, Debug)]
pub struct World {
    pub placer: Placer,
    pub now: Time,
    pub units: BTreeMap<UnitId, Unit>,
    pub running: BTreeMap<TaskId, Running>,
    /// Tasks that are done or given up.
    pub finished: BTreeSet<TaskId>,
    pub cancelled: BTreeSet<UnitId>,
    pub closed: BTreeSet<WorkerId>,
    /// Workers on which every task fails.
    pub faulty_workers: BTreeSet<WorkerId>,
    pub first_starts: BTreeMap<TaskId, Time>,
    /// All decisions so far, with their times.
    pub decisions: Vec<(Time, Decision)>,
    pub given_up: BTreeMap<TaskId, String>,
    specs: BTreeMap<WorkerId, WorkerSpec>,
    quotas: BTreeMap<String, Size>,
}

/// Creates a size from processors, GB of memory and accelerators.
pub fn size(processors: u64, gb: u64, accelerators: u32) -> Size {
    Size::new(processors * 1_000, gb * 1_024, accelerators)
}

pub fn batch(tasks: u32) -> Kind {
    Kind::Batch { tasks }
}

pub fn gang(tasks: u32) -> Kind {
    Kind::Gang { tasks }
}

pub fn service(replicas: u32) -> Kind {
    Kind::Service {
        replicas,
        spread: Spread::Rack,
        requests: RequestPolicy::default(),
    }
}

/// Creates a unit of team `t` whose tasks run for a minute.
pub fn unit(name: &str, class: Class, kind: Kind, size: Size) -> Unit {
    Unit {
        name: name.into(),
        team: "t".into(),
        command: vec!["run".into()],
        size,
        class,
        repeat: Repeat::Safe,
        attempts: 3,
        run_time: Duration::from_secs(60),
        kind,
    }
}

impl World {
    /// Creates open workers of one size, four to a rack, and a team `t` with a quota that no test
    /// reaches.
    pub fn new(cfg: PlaceConfig, workers: u32, whole: Size) -> Self {
        let mut world = Self {
            placer: Placer::new(cfg),
            now: Time::ZERO,
            units: BTreeMap::new(),
            running: BTreeMap::new(),
            finished: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            closed: BTreeSet::new(),
            faulty_workers: BTreeSet::new(),
            first_starts: BTreeMap::new(),
            decisions: Vec::new(),
            given_up: BTreeMap::new(),
            specs: BTreeMap::new(),
            quotas: BTreeMap::new(),
        };
        world.set_team("t", size(1_000_000, 1_000_000, 1_000));
        for i in 0..workers {
            world.add_worker(i, whole);
        }
        world
    }

    pub fn set_team(&mut self, name: &str, quota: Size) {
        let name = name.to_owned();
        self.quotas.insert(name.clone(), quota);
        self.placer.set_team(&Team { name, quota });
    }

    pub fn add_worker(&mut self, i: u32, size: Size) {
        let spec = WorkerSpec {
            id: WorkerId(i),
            rack: RackId(i / 4),
            size,
        };
        self.specs.insert(spec.id, spec);
        self.placer.add_worker(spec);
        self.placer.open_worker(self.now, spec.id);
    }

    pub fn set_open(&mut self, i: u32, open: bool) {
        let id = WorkerId(i);
        if open {
            self.closed.remove(&id);
            self.placer.open_worker(self.now, id);
        } else {
            self.closed.insert(id);
            self.placer.close_worker(id);
        }
    }

    pub fn submit(&mut self, unit: &Unit) -> Result<(), Unplaceable> {
        let id = UnitId::new(&unit.name);
        self.units.insert(id.clone(), unit.clone());
        let waiting: Vec<WaitingTask> = (0..unit.kind.tasks())
            .map(|index| WaitingTask { index, failures: 0 })
            .collect();
        self.placer.add_unit(&id, unit);
        self.placer.enqueue(self.now, &id, &waiting)
    }

    /// Cancels a unit and returns the number of stops that this call gave.
    pub fn cancel(&mut self, name: &str) -> usize {
        let id = UnitId::new(name);
        let mut out = Vec::new();
        self.placer.cancel(self.now, &id, &mut out);
        self.cancelled.insert(id);
        let stops = out.len();
        self.carry_out(out);
        stops
    }

    /// Advances the clock, ends the tasks that are due, and returns the resulting decisions.
    pub fn step(&mut self, span: Duration) -> Vec<Decision> {
        self.now += span;
        let due = self.running.iter().filter(|(_, r)| r.ends <= self.now);
        let due: Vec<(TaskId, TaskEnd)> = due.map(|(t, r)| (t.clone(), r.end)).collect();
        for (task, end) in due {
            self.end(&task, end);
        }
        self.decide()
    }

    /// Advances the clock by `span` in steps of 100 ms.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step(Duration::from_millis(100));
        }
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        let mut out = Vec::new();
        self.placer.decide(self.now, &mut out);
        self.carry_out(out.clone());
        self.check_room();
        out
    }

    pub fn end(&mut self, task: &TaskId, end: TaskEnd) -> NextState {
        self.running.remove(task).expect("it runs");
        let next = self.placer.task_ended(self.now, task, end);
        match &next {
            NextState::Waiting => {}
            NextState::Done => {
                self.finished.insert(task.clone());
            }
            NextState::GivenUp { reason } => {
                self.finished.insert(task.clone());
                self.given_up.insert(task.clone(), reason.clone());
            }
        }
        next
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        self.check_gangs(&decisions);
        for decision in decisions {
            match &decision {
                Decision::Start { task, worker, .. } => self.start(task, *worker),
                Decision::Stop { task, .. } => self.schedule_end(task, TaskEnd::Stopped),
                Decision::Checkpoint { task, .. } => self.schedule_end(task, TaskEnd::Checkpointed),
                Decision::Throttle { .. } | Decision::Explain { .. } => {}
            }
            self.decisions.push((self.now, decision));
        }
    }

    fn start(&mut self, task: &TaskId, worker: WorkerId) {
        assert!(!self.running.contains_key(task), "{task} starts twice");
        assert!(!self.finished.contains(task), "{task} starts after its end");
        assert!(
            !self.cancelled.contains(&task.unit),
            "{task} starts though it is cancelled"
        );
        assert!(!self.closed.contains(&worker), "{worker} is closed");
        self.first_starts.entry(task.clone()).or_insert(self.now);
        let unit = &self.units[&task.unit];
        let (duration, end) = if self.faulty_workers.contains(&worker) || unit.command[0] == "fail"
        {
            (Duration::from_millis(500), TaskEnd::Failed)
        } else if unit.kind.is_service() {
            (Duration::from_secs(1_000_000), TaskEnd::Succeeded)
        } else {
            (unit.run_time, TaskEnd::Succeeded)
        };
        let running = Running {
            worker,
            since: self.now,
            ends: self.now + duration,
            end,
        };
        self.running.insert(task.clone(), running);
    }

    /// Ends a running task in one second, unless it ends earlier by itself.
    fn schedule_end(&mut self, task: &TaskId, end: TaskEnd) {
        let ends = self.now + Duration::from_secs(1);
        if let Some(running) = self.running.get_mut(task)
            && ends < running.ends
        {
            running.ends = ends;
            running.end = end;
        }
    }

    /// Checks that each gang starts all of its missing tasks in one call, or none.
    fn check_gangs(&self, decisions: &[Decision]) {
        let mut starts: BTreeMap<&UnitId, u32> = BTreeMap::new();
        for decision in decisions {
            if let Decision::Start { task, .. } = decision {
                *starts.entry(&task.unit).or_default() += 1;
            }
        }
        for (id, n) in starts {
            let Kind::Gang { tasks } = self.units[id].kind else {
                continue;
            };
            let of_gang = |task: &&TaskId| task.unit == *id;
            let running = self.running.keys().filter(of_gang).count();
            let finished = self.finished.iter().filter(of_gang).count();
            let missing = tasks as usize - running - finished;
            assert_eq!(n as usize, missing, "{id} starts in part");
        }
    }

    /// Checks that no worker exceeds its size, no team exceeds its quota, and each task has at
    /// least the size that its unit declares.
    fn check_room(&self) {
        let mut workers: BTreeMap<WorkerId, Size> = BTreeMap::new();
        let mut teams: BTreeMap<&str, Size> = BTreeMap::new();
        for (task, running) in &self.running {
            let size = self.placer.allocated(task).expect("it holds room");
            let unit = &self.units[&task.unit];
            assert!(unit.size.fits(&size), "{task} holds less than it declared");
            *workers.entry(running.worker).or_default() += size;
            *teams.entry(&unit.team).or_default() += size;
        }
        for (id, used) in workers {
            let whole = self.specs[&id].size;
            assert!(used.fits(&whole), "{id} holds {used} of {whole}");
        }
        for (name, used) in teams {
            let quota = self.quotas[name];
            assert!(used.fits(&quota), "team {name} holds {used} of {quota}");
        }
    }

    pub fn count(&self, which: impl Fn(&Decision) -> bool) -> usize {
        self.decisions.iter().filter(|(_, d)| which(d)).count()
    }

    pub fn running_of(&self, name: &str) -> Vec<(&TaskId, &Running)> {
        let tasks = self.running.iter();
        tasks.filter(|(t, _)| t.unit.as_str() == name).collect()
    }

    /// Returns when the first task of a unit started.
    pub fn first_start(&self, name: &str) -> Option<Time> {
        let tasks = self.first_starts.iter();
        let of_unit = tasks.filter(|(task, _)| task.unit.as_str() == name);
        of_unit.map(|(_, at)| *at).min()
    }
}

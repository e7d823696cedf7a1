//! Queues and decisions.

use std::collections::{BTreeMap, VecDeque};

use model::{Class, Kind, RackId, Repeat, Size, TaskId, Team, Time, Unit, UnitId, WorkerId};

use crate::Unplaceable;

/// Settings of a [`Placer`].
#[derive(Clone, Debug)]
pub struct PlaceConfig {
    /// The most decisions of one call of [`Placer::decide`]. 1,000 by default.
    pub batch_max: usize,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self { batch_max: 1_000 }
    }
}

/// A worker as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The worker.
    pub id: WorkerId,
    /// The rack it stands in.
    pub rack: RackId,
    /// All that it holds.
    pub size: Size,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ended well.
    Succeeded,
    /// It ended with a failure of its own.
    Failed,
    /// It could not be started on its worker.
    StartFailed,
    /// It was stopped with its progress saved.
    Checkpointed,
    /// It was stopped by a command.
    Stopped,
    /// Its worker is gone and its lease has lapsed.
    Lost,
    /// It surely never started.
    NotStarted,
}

/// What follows after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// The task is done.
    Done,
    /// The task waits for another attempt.
    Waits,
    /// The task is given up.
    GivenUp {
        /// Why.
        reason: String,
    },
}

/// A task that is to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The task's number within its unit.
    pub index: u32,
    /// How many of its attempts have failed.
    pub failures: u32,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task. Its room is reserved.
    Start {
        /// The task.
        task: TaskId,
        /// Where it starts.
        worker: WorkerId,
        /// What is reserved for it.
        size: Size,
    },
    /// Stop a task that runs or is being started.
    Stop {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
}

#[derive(Clone, Debug)]
struct Worker {
    size: Size,
    used: Size,
    open: bool,
}

#[derive(Clone, Debug)]
struct Placed {
    worker: WorkerId,
    size: Size,
}

#[derive(Clone, Debug)]
struct Entry {
    unit: Unit,
    waiting: VecDeque<u32>,
    failures: BTreeMap<u32, u32>,
}

/// Decides which tasks start where in one failure domain.
#[derive(Clone, Debug)]
pub struct Placer {
    cfg: PlaceConfig,
    teams: BTreeMap<String, Team>,
    used_by_team: BTreeMap<String, Size>,
    workers: BTreeMap<WorkerId, Worker>,
    units: BTreeMap<UnitId, Entry>,
    queues: BTreeMap<Class, Vec<UnitId>>,
    placed: BTreeMap<TaskId, Placed>,
}

impl Placer {
    /// A placer with no workers and no work.
    #[must_use]
    pub fn new(cfg: PlaceConfig) -> Self {
        Self {
            cfg,
            teams: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            workers: BTreeMap::new(),
            units: BTreeMap::new(),
            queues: BTreeMap::new(),
            placed: BTreeMap::new(),
        }
    }

    /// Adds a team or changes its quota.
    pub fn set_team(&mut self, team: &Team) {
        self.teams.insert(team.name.clone(), team.clone());
    }

    /// Adds a worker, on which nothing is placed before it is opened.
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        self.workers.entry(spec.id).or_insert(Worker {
            size: spec.size,
            used: Size::ZERO,
            open: false,
        });
    }

    /// Lets work be placed on a worker.
    pub fn open_worker(&mut self, _now: Time, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.open = true;
        }
    }

    /// Lets no more work be placed on a worker. What runs there goes on.
    pub fn close_worker(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.open = false;
        }
    }

    /// Adds a unit or changes its description. None of its tasks waits before [`Self::enqueue`].
    pub fn add_unit(&mut self, id: &UnitId, unit: &Unit) {
        if let Some(entry) = self.units.get_mut(id) {
            entry.unit = unit.clone();
            return;
        }
        let entry = Entry {
            unit: unit.clone(),
            waiting: VecDeque::new(),
            failures: BTreeMap::new(),
        };
        self.units.insert(id.clone(), entry);
        self.queues.entry(unit.class).or_default().push(id.clone());
    }

    /// Puts tasks of a known unit in the queue. Tasks that wait or run already are left as they are.
    ///
    /// # Errors
    ///
    /// The unit can never run as things stand; nothing is queued.
    pub fn enqueue(
        &mut self,
        _now: Time,
        id: &UnitId,
        waiting: &[Waiting],
    ) -> Result<(), Unplaceable> {
        let Some(entry) = self.units.get(id) else {
            return Ok(());
        };
        self.check(&entry.unit)?;
        for task in waiting {
            let placed = self.placed.contains_key(&TaskId::new(id, task.index));
            if let Some(entry) = self.units.get_mut(id)
                && !placed
                && !entry.waiting.contains(&task.index)
            {
                entry.waiting.push_back(task.index);
                entry.failures.insert(task.index, task.failures);
            }
        }
        Ok(())
    }

    /// Forgets a unit none of whose tasks runs.
    pub fn remove_unit(&mut self, id: &UnitId) {
        if let Some(entry) = self.units.remove(id)
            && let Some(queue) = self.queues.get_mut(&entry.unit.class)
        {
            queue.retain(|other| other != id);
        }
    }

    fn check(&self, unit: &Unit) -> Result<(), Unplaceable> {
        let Some(team) = self.teams.get(&unit.team) else {
            return Err(Unplaceable::NoTeam(unit.team.clone()));
        };
        let at_once = match unit.kind {
            Kind::Gang { tasks } => unit.size.times(tasks),
            Kind::Batch { .. } | Kind::Service { .. } => unit.size,
        };
        if !at_once.fits(&team.quota) {
            return Err(Unplaceable::OverQuota(at_once));
        }
        let held = self.workers.values().any(|w| unit.size.fits(&w.size));
        if !held && !self.workers.is_empty() {
            return Err(Unplaceable::TooLarge(unit.size));
        }
        Ok(())
    }

    /// Counts a task that was found running on a worker, also where it exceeds what the worker holds.
    pub fn adopt(&mut self, _now: Time, task: &TaskId, worker: WorkerId, size: Size) {
        if let Some(entry) = self.units.get_mut(&task.unit) {
            entry.waiting.retain(|index| *index != task.index);
        }
        self.reserve(task.clone(), worker, size);
    }

    /// Frees what a task held, and says what follows.
    pub fn ended(&mut self, _now: Time, task: &TaskId, end: TaskEnd) -> Next {
        self.release(task);
        let Some(entry) = self.units.get_mut(&task.unit) else {
            return Next::Done;
        };
        let failed = matches!(end, TaskEnd::Failed | TaskEnd::StartFailed);
        let never = entry.unit.repeat == Repeat::Never;
        match end {
            TaskEnd::Succeeded if !entry.unit.kind.is_service() => return Next::Done,
            TaskEnd::Lost if never => return given_up("it may have run and must not be repeated"),
            TaskEnd::Failed if never => return given_up("it failed and must not be repeated"),
            _ => {}
        }
        let failures = entry.failures.entry(task.index).or_default();
        *failures += u32::from(failed);
        if failed && *failures >= entry.unit.attempts {
            return given_up("all attempts failed");
        }
        entry.waiting.push_back(task.index);
        Next::Waits
    }

    fn release(&mut self, task: &TaskId) {
        let Some(placed) = self.placed.remove(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&placed.worker) {
            worker.used -= placed.size;
        }
        let entry = self.units.get(&task.unit);
        if let Some(used) = entry.and_then(|e| self.used_by_team.get_mut(&e.unit.team)) {
            *used -= placed.size;
        }
    }

    /// Drops a unit: what waits is forgotten, what runs is stopped.
    pub fn cancel(&mut self, _now: Time, id: &UnitId, out: &mut Vec<Decision>) {
        let Some(entry) = self.units.get_mut(id) else {
            return;
        };
        entry.waiting.clear();
        if let Some(queue) = self.queues.get_mut(&entry.unit.class) {
            queue.retain(|other| other != id);
        }
        for index in 0..entry.unit.kind.tasks() {
            let task = TaskId::new(id, index);
            if let Some(placed) = self.placed.get(&task) {
                let worker = placed.worker;
                out.push(Decision::Stop { task, worker });
            }
        }
    }

    /// What the open workers have free together.
    #[must_use]
    pub fn free(&self) -> Size {
        let open = self.workers.values().filter(|worker| worker.open);
        open.fold(Size::ZERO, |sum, worker| sum + (worker.size - worker.used))
    }

    /// Decides what starts now.
    pub fn decide(&mut self, _now: Time, out: &mut Vec<Decision>) {
        for class in Class::URGENT_FIRST {
            let queue = self.queues.get(&class).cloned().unwrap_or_default();
            for id in queue {
                self.start_unit(&id, out);
                if out.len() >= self.cfg.batch_max {
                    return;
                }
            }
        }
    }

    fn start_unit(&mut self, id: &UnitId, out: &mut Vec<Decision>) {
        let Some(entry) = self.units.get(id) else {
            return;
        };
        let size = entry.unit.size;
        let together = matches!(entry.unit.kind, Kind::Gang { .. });
        let waiting: Vec<u32> = entry.waiting.iter().copied().collect();
        let begun = out.len();
        for index in &waiting {
            let Some(worker) = self.first_fit(id, size) else {
                break;
            };
            let task = TaskId::new(id, *index);
            self.reserve(task.clone(), worker, size);
            out.push(Decision::Start { task, worker, size });
        }
        let started = out.len() - begun;
        if together && started < waiting.len() {
            self.undo(out.split_off(begun));
        } else if let Some(entry) = self.units.get_mut(id) {
            entry.waiting.drain(..started);
        }
    }

    fn undo(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            if let Decision::Start { task, .. } = decision {
                self.release(&task);
            }
        }
    }

    fn first_fit(&self, id: &UnitId, size: Size) -> Option<WorkerId> {
        let team = self.teams.get(&self.units.get(id)?.unit.team)?;
        let used = self
            .used_by_team
            .get(&team.name)
            .copied()
            .unwrap_or_default();
        if !(used + size).fits(&team.quota) {
            return None;
        }
        self.workers
            .iter()
            .find(|(_, w)| w.open && (w.used + size).fits(&w.size))
            .map(|(id, _)| *id)
    }

    fn reserve(&mut self, task: TaskId, worker: WorkerId, size: Size) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.used += size;
        }
        if let Some(entry) = self.units.get(&task.unit) {
            *self
                .used_by_team
                .entry(entry.unit.team.clone())
                .or_default() += size;
        }
        self.placed.insert(task, Placed { worker, size });
    }
}

fn given_up(reason: &str) -> Next {
    Next::GivenUp {
        reason: reason.to_owned(),
    }
}

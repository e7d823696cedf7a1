//! The placer: what it is told, and its bookkeeping.

use std::collections::{BTreeMap, BTreeSet};

use model::{Class, Kind, Size, TaskId, Team, Time, Unit, UnitId, WorkerId};

use crate::{
    Decision, PlaceConfig, Unplaceable, WaitingTask, WorkerSpec,
    failed::Failed,
    fit::Slot,
    growth::Growth,
    kept::Kept,
    learn::Learning,
    queues::Queues,
    stops::Stops,
    teams::Teams,
    units::{Entry, Hold, Placed, TaskKey, UnitIx, Units},
    workers::Workers,
};

/// A service's replica that ran for so long has its earlier failures forgiven.
const STABLE_RUN: std::time::Duration = std::time::Duration::from_secs(600);

/// Decides which tasks start where in one failure domain.
#[derive(Clone, Debug)]
pub struct Placer {
    pub(crate) cfg: PlaceConfig,
    pub(crate) teams: Teams,
    pub(crate) workers: Workers,
    pub(crate) units: Units,
    pub(crate) queues: Queues,
    pub(crate) learning: Learning,
    pub(crate) kept: Kept,
    pub(crate) growths: Vec<Growth>,
    pub(crate) pending: Vec<Decision>,
    /// Sizes without room, by class.
    pub(crate) no_room: BTreeMap<Class, Failed>,
    pub(crate) dirty: bool,
    pub(crate) recheck: bool,
    pub(crate) next_patience: Time,
    pub(crate) retry_gangs_at: Time,
    pub(crate) stops: Stops,
    pub(crate) quarantined: BTreeSet<(Time, Slot)>,
    next_seq: u64,
}

impl Placer {
    /// A placer with no workers and no work.
    #[must_use]
    pub fn new(cfg: PlaceConfig) -> Self {
        Self {
            cfg,
            teams: Teams::default(),
            workers: Workers::default(),
            units: Units::default(),
            queues: Queues::default(),
            learning: Learning::default(),
            kept: Kept::default(),
            growths: Vec::new(),
            pending: Vec::new(),
            no_room: Class::URGENT_FIRST
                .map(|class| (class, Failed::default()))
                .into(),
            dirty: false,
            recheck: false,
            next_patience: Time::ZERO,
            retry_gangs_at: Time::MAX,
            stops: Stops::default(),
            quarantined: BTreeSet::new(),
            next_seq: 0,
        }
    }

    /// Adds a team or changes its quota.
    pub fn set_team(&mut self, team: &Team) {
        if self.teams.set(team) {
            self.changed();
        }
    }

    /// Adds a worker, on which nothing is placed before it is opened.
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        if self.workers.add(spec, &self.cfg) {
            self.changed();
        }
    }

    /// Lets work be placed on a worker.
    pub fn open_worker(&mut self, _now: Time, id: WorkerId) {
        let Some(slot) = self.workers.slot(id) else {
            return;
        };
        if self.workers.set_open(slot, true, &self.cfg) {
            self.changed();
        }
    }

    /// Lets no more work be placed on a worker. What runs there goes on.
    pub fn close_worker(&mut self, id: WorkerId) {
        let Some(slot) = self.workers.slot(id) else {
            return;
        };
        if self.workers.set_open(slot, false, &self.cfg) {
            self.drop_groups(|group| group.rooms.contains_key(&slot));
            self.changed();
        }
    }

    const fn changed(&mut self) {
        self.recheck = true;
        self.dirty = true;
    }

    /// Adds a unit or changes its description. None of its tasks waits before [`Self::enqueue`].
    /// Tasks beyond a lowered number are dropped or stopped.
    pub fn add_unit(&mut self, id: &UnitId, unit: &Unit) {
        let team = self.teams.index(&unit.team);
        let Some(ix) = self.units.find(id) else {
            let name = self.learning.acquire(&unit.name);
            let entry = Entry::new(id, unit, team, name, self.next_seq);
            self.next_seq += 1;
            self.units.insert(entry);
            return;
        };
        if self.units.get(ix).is_none_or(|entry| entry.unit == *unit) {
            return;
        }
        self.drop_groups(|group| group.unit == ix);
        let name = self.learning.acquire(&unit.name);
        if let Some(entry) = self.units.get_mut(ix) {
            self.queues.remove(ix, entry);
            self.learning.release(entry.name);
            entry.unit = unit.clone();
            entry.team = team;
            entry.name = name;
        }
        self.drop_surplus(ix);
        self.file(ix);
        self.changed();
    }

    /// Puts tasks of a known unit in the queue. Tasks that wait or run already are left as they are.
    ///
    /// # Errors
    ///
    /// The unit can never run as things stand; nothing is queued.
    pub fn enqueue(
        &mut self,
        now: Time,
        id: &UnitId,
        waiting: &[WaitingTask],
    ) -> Result<(), Unplaceable> {
        let Some(ix) = self.units.find(id) else {
            return Ok(());
        };
        self.check(ix)?;
        let Some(entry) = self.units.get_mut(ix) else {
            return Ok(());
        };
        if entry.waiting.is_empty() {
            entry.since = now;
        }
        for new in waiting {
            let task = entry.tasks.entry(new.index).or_default();
            if task.placed.is_none() && !task.kept && task.due.is_none() {
                task.failures = task.failures.max(new.failures);
                entry.waiting.insert(new.index);
            }
        }
        entry.blocked = None;
        self.file(ix);
        self.dirty = true;
        Ok(())
    }

    /// Forgets a unit none of whose tasks runs.
    pub fn remove_unit(&mut self, id: &UnitId) {
        let Some(ix) = self.units.find(id) else {
            return;
        };
        self.drop_waiting(ix);
        let running = self.running(ix);
        for index in running {
            self.release((ix, index));
        }
        if let Some(entry) = self.units.remove(ix) {
            self.learning.release(entry.name);
        }
    }

    /// Counts a task that was found running on a worker, also where it exceeds what the worker holds.
    pub fn adopt(&mut self, now: Time, task: &TaskId, worker: WorkerId, size: Size) {
        let Some(ix) = self.units.find(&task.unit) else {
            return;
        };
        let unknown = WorkerSpec {
            id: worker,
            rack: model::RackId::default(),
            size: Size::ZERO,
        };
        if self.workers.slot(worker).is_none() {
            self.workers.add(unknown, &self.cfg);
        }
        let Some(slot) = self.workers.slot(worker) else {
            return;
        };
        let key = (ix, task.index);
        self.release(key);
        self.drop_groups(|group| {
            group.unit == ix && group.tasks.iter().any(|t| t.index == task.index)
        });
        self.undelay(key);
        self.put(now, key, slot, size, false);
    }

    fn undelay(&mut self, key: TaskKey) {
        let Some(entry) = self.units.get_mut(key.0) else {
            return;
        };
        let task = entry.tasks.entry(key.1).or_default();
        if let Some(due) = task.due.take() {
            entry.delayed -= 1;
            self.queues.undelay(due, key);
        }
    }

    /// Reserves room for a task, which no longer waits.
    pub(crate) fn put(&mut self, now: Time, key: TaskKey, slot: Slot, size: Size, revocable: bool) {
        let max = self.cfg.max_preemptions;
        let Some(entry) = self.units.get(key.0) else {
            return;
        };
        let hold = if entry.is_service() {
            Hold::Lasting
        } else if revocable {
            Hold::Revocable
        } else if entry.preemptible(key.1, max) {
            Hold::Preemptible
        } else {
            Hold::Firm
        };
        let placed = Placed {
            slot,
            size,
            since: now,
            ends: now + self.run_time_of(entry),
            hold,
            ending: false,
            growing: false,
            throttled: false,
            team: entry.team,
            class: entry.class(),
        };
        self.workers.reserve(key, &placed, &self.cfg);
        self.teams.start(key, &placed);
        self.teams.drop_claim(placed.team, key.0);
        let rack = self.workers.get(slot).spec.rack;
        if let Some(entry) = self.units.get_mut(key.0) {
            entry.since = now;
            entry.waiting.remove(&key.1);
            *entry.racks.entry(rack).or_default() += 1;
            entry.tasks.entry(key.1).or_default().placed = Some(placed);
        }
        self.file(key.0);
    }

    /// Frees what a task held.
    pub(crate) fn release(&mut self, key: TaskKey) -> Option<Placed> {
        let entry = self.units.get_mut(key.0)?;
        let placed = entry.tasks.get_mut(&key.1)?.placed.take()?;
        let rack = self.workers.get(placed.slot).spec.rack;
        if let Some(n) = entry.racks.get_mut(&rack) {
            *n -= 1;
            if *n == 0 {
                entry.racks.remove(&rack);
            }
        }
        self.workers.release(key, &placed, &self.cfg);
        self.teams.end(key, &placed);
        self.dirty = true;
        Some(placed)
    }

    /// Takes a reservation back that was never announced.
    pub(crate) fn unput(&mut self, key: TaskKey) {
        self.release(key);
        if let Some(entry) = self.units.get_mut(key.0) {
            entry.waiting.insert(key.1);
        }
        self.file(key.0);
    }

    pub(crate) fn announce(&self, key: TaskKey, out: &mut Vec<Decision>) {
        if let (Some(entry), Some(placed)) = (self.units.get(key.0), self.units.placed(key)) {
            out.push(Decision::Start {
                task: entry.task_id(key.1),
                worker: self.workers.get(placed.slot).spec.id,
                size: placed.size,
            });
        }
    }

    pub(crate) fn announce_stop(&self, key: TaskKey, out: &mut Vec<Decision>) {
        if let (Some(entry), Some(placed)) = (self.units.get(key.0), self.units.placed(key)) {
            out.push(Decision::Stop {
                task: entry.task_id(key.1),
                worker: self.workers.get(placed.slot).spec.id,
            });
        }
    }

    /// Decides what is done now.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.give_stops(now, out);
        self.end_backoffs(now);
        self.end_quarantines(now);
        self.recheck();
        out.append(&mut self.pending);
        self.settle_growths(now, out);
        self.settle_groups(now, out);
        if now >= self.retry_gangs_at {
            self.retry_gangs_at = Time::MAX;
            self.dirty = true;
        }
        if self.dirty {
            self.pass(now, out);
        }
        self.keep_for_patient(now, out);
    }

    fn end_backoffs(&mut self, now: Time) {
        while let Some((ix, index)) = self.queues.pop_due(now) {
            let Some(entry) = self.units.get_mut(ix) else {
                continue;
            };
            entry.delayed -= 1;
            if entry.waiting.is_empty() {
                entry.since = now;
            }
            entry.waiting.insert(index);
            entry.tasks.entry(index).or_default().due = None;
            self.file(ix);
            self.dirty = true;
        }
    }

    fn end_quarantines(&mut self, now: Time) {
        while let Some((until, slot)) = self.quarantined.first().copied() {
            if until > now {
                return;
            }
            self.quarantined.pop_first();
            self.workers.probe(slot, now, &self.cfg);
            self.dirty = true;
        }
    }

    /// Brings the queues in step with a unit.
    pub(crate) fn file(&mut self, ix: UnitIx) {
        if let Some(entry) = self.units.get(ix) {
            self.queues.file(ix, entry, self.size_of(ix));
        }
    }

    /// What is reserved for each of a unit's tasks.
    pub(crate) fn size_of(&self, ix: UnitIx) -> Size {
        self.units.get(ix).map_or(Size::ZERO, |entry| {
            self.learning.of(entry.name).size(entry.unit.size)
        })
    }

    /// How long a task of a unit is expected to run.
    pub(crate) fn run_time_of(&self, entry: &Entry) -> std::time::Duration {
        match entry.unit.kind {
            Kind::Service { .. } => STABLE_RUN,
            _ => self.learning.of(entry.name).run_time(entry.unit.run_time),
        }
    }
}

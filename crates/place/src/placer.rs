//! The [`Placer`]: reports from the caller and the bookkeeping of allocations.

use std::collections::{BTreeMap, BTreeSet};

use model::{Class, Kind, Size, TaskId, Team, Time, Unit, UnitId, WorkerId};

use crate::{
    Decision, PlaceConfig, Unplaceable, WaitingTask, WorkerSpec,
    fit::Slot,
    growth::Growth,
    history::Histories,
    queues::Queues,
    reservations::Reservations,
    stops::StopQueue,
    teams::Teams,
    unfit::UnfitSizes,
    units::{Allocation, AllocationKind, Entry, TaskKey, UnitIx, Units},
    workers::Workers,
};

/// The nominal run time of a service's replica, which does not end by itself. Estimates of when room
/// becomes free leave replicas out.
const SERVICE_RUN_TIME: std::time::Duration = std::time::Duration::from_secs(600);

/// Decides which tasks start on which workers of one failure domain.
#[derive(Clone, Debug)]
pub struct Placer {
    pub(crate) cfg: PlaceConfig,
    pub(crate) teams: Teams,
    pub(crate) workers: Workers,
    pub(crate) units: Units,
    pub(crate) queues: Queues,
    pub(crate) histories: Histories,
    pub(crate) reservations: Reservations,
    pub(crate) growths: Vec<Growth>,
    /// Decisions that the next call of [`Self::decide`] returns.
    pub(crate) pending_decisions: Vec<Decision>,
    /// The sizes that found no room, by class.
    pub(crate) unfit_sizes: BTreeMap<Class, UnfitSizes>,
    /// Whether something has changed that may let a queued task start.
    pub(crate) needs_pass: bool,
    /// Whether workers, teams or units have changed, so that the feasibility of units must be
    /// checked again.
    pub(crate) needs_recheck: bool,
    /// When units that have waited too long are looked for next.
    pub(crate) next_overdue_check: Time,
    /// When the first gang that found no room may be tried again; [`Time::MAX`] if there is none.
    pub(crate) retry_gangs_at: Time,
    pub(crate) stops: StopQueue,
    /// The ends of the quarantines, with their workers.
    pub(crate) quarantined: BTreeSet<(Time, Slot)>,
    next_seq: u64,
}

impl Placer {
    /// Creates a placer without workers, teams and units.
    #[must_use]
    pub fn new(cfg: PlaceConfig) -> Self {
        Self {
            cfg,
            teams: Teams::default(),
            workers: Workers::default(),
            units: Units::default(),
            queues: Queues::default(),
            histories: Histories::default(),
            reservations: Reservations::default(),
            growths: Vec::new(),
            pending_decisions: Vec::new(),
            unfit_sizes: Class::URGENT_FIRST
                .map(|class| (class, UnfitSizes::default()))
                .into(),
            needs_pass: false,
            needs_recheck: false,
            next_overdue_check: Time::ZERO,
            retry_gangs_at: Time::MAX,
            stops: StopQueue::default(),
            quarantined: BTreeSet::new(),
            next_seq: 0,
        }
    }

    /// Adds a team or changes its quota.
    pub fn set_team(&mut self, team: &Team) {
        if self.teams.set(team) {
            self.mark_changed();
        }
    }

    /// Adds a worker or changes its description. Nothing is placed on a new worker before
    /// [`Self::open_worker`].
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        if self.workers.add(spec, &self.cfg) {
            self.mark_changed();
        }
    }

    /// Opens a worker: tasks may be placed on it.
    pub fn open_worker(&mut self, _now: Time, id: WorkerId) {
        let Some(slot) = self.workers.slot(id) else {
            return;
        };
        if self.workers.set_open(slot, true, &self.cfg) {
            self.mark_changed();
        }
    }

    /// Closes a worker: no more tasks are placed on it. Its running tasks continue.
    pub fn close_worker(&mut self, id: WorkerId) {
        let Some(slot) = self.workers.slot(id) else {
            return;
        };
        if self.workers.set_open(slot, false, &self.cfg) {
            self.cancel_reservations(|reservation| reservation.rooms.contains_key(&slot));
            self.mark_changed();
        }
    }

    /// Requests a feasibility check of all units and a pass over the queues.
    const fn mark_changed(&mut self) {
        self.needs_recheck = true;
        self.needs_pass = true;
    }

    /// Adds a unit or changes its description. Its tasks are queued only by [`Self::enqueue`]. If
    /// the number of tasks is lowered, the surplus tasks are dropped, and stopped if they run.
    pub fn add_unit(&mut self, id: &UnitId, unit: &Unit) {
        let team = self.teams.index(&unit.team);
        let Some(ix) = self.units.find(id) else {
            let name_ix = self.histories.acquire(&unit.name);
            let entry = Entry::new(id, unit, team, name_ix, self.next_seq);
            self.next_seq += 1;
            self.units.insert(entry);
            return;
        };
        if self.units.get(ix).is_none_or(|entry| entry.unit == *unit) {
            return;
        }
        self.cancel_reservations(|reservation| reservation.unit == ix);
        let name_ix = self.histories.acquire(&unit.name);
        if let Some(entry) = self.units.get_mut(ix) {
            self.queues.remove(ix, entry);
            self.histories.release(entry.name_ix);
            entry.unit = unit.clone();
            entry.team = team;
            entry.name_ix = name_ix;
        }
        self.drop_surplus(ix);
        self.update_queue(ix);
        self.mark_changed();
    }

    /// Queues tasks of a known unit. Tasks that already wait or run are left as they are.
    ///
    /// # Errors
    ///
    /// Returns an error and queues nothing if the unit can never run with the current workers,
    /// teams and quotas.
    pub fn enqueue(
        &mut self,
        now: Time,
        id: &UnitId,
        waiting: &[WaitingTask],
    ) -> Result<(), Unplaceable> {
        let Some(ix) = self.units.find(id) else {
            return Ok(());
        };
        self.check_feasible(ix)?;
        let Some(entry) = self.units.get_mut(ix) else {
            return Ok(());
        };
        if entry.waiting.is_empty() {
            entry.last_progress = now;
        }
        for new in waiting {
            let task = entry.tasks.entry(new.index).or_default();
            if task.allocation.is_none() && !task.is_reserved && task.backoff_until.is_none() {
                task.failures = task.failures.max(new.failures);
                entry.waiting.insert(new.index);
            }
        }
        entry.blocked = None;
        self.update_queue(ix);
        self.needs_pass = true;
        Ok(())
    }

    /// Removes a unit. The caller must have ended its tasks before: allocations that remain are
    /// released without a decision to stop the task.
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
            self.histories.release(entry.name_ix);
        }
    }

    /// Allocates room for a task that was found running on a worker, even if that exceeds the
    /// worker's size. An unknown worker is added, closed and with size zero.
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
        self.cancel_reservations(|reservation| {
            reservation.unit == ix && reservation.tasks.iter().any(|t| t.index == task.index)
        });
        self.cancel_backoff(key);
        self.place_task(now, key, slot, size, false);
    }

    /// Ends a task's backoff without queueing the task.
    fn cancel_backoff(&mut self, key: TaskKey) {
        let Some(entry) = self.units.get_mut(key.0) else {
            return;
        };
        let task = entry.tasks.entry(key.1).or_default();
        if let Some(until) = task.backoff_until.take() {
            entry.in_backoff -= 1;
            self.queues.remove_backoff(until, key);
        }
    }

    /// Allocates room for a task and takes it out of the waiting ones.
    pub(crate) fn place_task(
        &mut self,
        now: Time,
        key: TaskKey,
        slot: Slot,
        size: Size,
        is_revocable: bool,
    ) {
        let max_preemptions = self.cfg.max_preemptions;
        let Some(entry) = self.units.get(key.0) else {
            return;
        };
        let kind = if entry.is_service() {
            AllocationKind::Service
        } else if is_revocable {
            AllocationKind::Revocable
        } else if entry.is_preemptible(key.1, max_preemptions) {
            AllocationKind::Preemptible
        } else {
            AllocationKind::NonPreemptible
        };
        let allocation = Allocation {
            slot,
            size,
            since: now,
            expected_end: now + self.expected_run_time(entry),
            kind,
            is_ending: false,
            is_growing: false,
            is_throttled: false,
            team: entry.team,
            class: entry.class(),
        };
        self.workers.allocate(key, &allocation, &self.cfg);
        self.teams.add_task(key, &allocation);
        self.teams.drop_claim(allocation.team, key.0);
        let rack = self.workers.get(slot).spec.rack;
        if let Some(entry) = self.units.get_mut(key.0) {
            entry.last_progress = now;
            entry.waiting.remove(&key.1);
            *entry.racks.entry(rack).or_default() += 1;
            entry.tasks.entry(key.1).or_default().allocation = Some(allocation);
        }
        self.update_queue(key.0);
    }

    /// Releases a task's allocation and returns it.
    pub(crate) fn release(&mut self, key: TaskKey) -> Option<Allocation> {
        let entry = self.units.get_mut(key.0)?;
        let allocation = entry.tasks.get_mut(&key.1)?.allocation.take()?;
        let rack = self.workers.get(allocation.slot).spec.rack;
        if let Some(n) = entry.racks.get_mut(&rack) {
            *n -= 1;
            if *n == 0 {
                entry.racks.remove(&rack);
            }
        }
        self.workers.release(key, &allocation, &self.cfg);
        self.teams.remove_task(key, &allocation);
        self.needs_pass = true;
        Some(allocation)
    }

    /// Undoes [`Self::place_task`] for a task whose start was not yet pushed to the decisions.
    pub(crate) fn undo_placement(&mut self, key: TaskKey) {
        self.release(key);
        if let Some(entry) = self.units.get_mut(key.0) {
            entry.waiting.insert(key.1);
        }
        self.update_queue(key.0);
    }

    /// Adds the decision to start a task that has an allocation.
    pub(crate) fn push_start(&self, key: TaskKey, out: &mut Vec<Decision>) {
        if let (Some(entry), Some(allocation)) = (self.units.get(key.0), self.units.allocation(key))
        {
            out.push(Decision::Start {
                task: entry.task_id(key.1),
                worker: self.workers.get(allocation.slot).spec.id,
                size: allocation.size,
            });
        }
    }

    /// Adds the decision to stop a task that has an allocation.
    pub(crate) fn push_stop(&self, key: TaskKey, out: &mut Vec<Decision>) {
        if let (Some(entry), Some(allocation)) = (self.units.get(key.0), self.units.allocation(key))
        {
            out.push(Decision::Stop {
                task: entry.task_id(key.1),
                worker: self.workers.get(allocation.slot).spec.id,
            });
        }
    }

    /// Appends to `out` the decisions that are due at `now`.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.issue_stops(now, out);
        self.end_backoffs(now);
        self.end_quarantines(now);
        self.recheck_units();
        out.append(&mut self.pending_decisions);
        self.settle_growths(now, out);
        self.settle_reservations(now, out);
        if now >= self.retry_gangs_at {
            self.retry_gangs_at = Time::MAX;
            self.needs_pass = true;
        }
        if self.needs_pass {
            self.pass(now, out);
        }
        self.reserve_for_overdue(now, out);
    }

    /// Queues the tasks whose backoff has ended.
    fn end_backoffs(&mut self, now: Time) {
        while let Some((ix, index)) = self.queues.pop_due(now) {
            let Some(entry) = self.units.get_mut(ix) else {
                continue;
            };
            entry.in_backoff -= 1;
            if entry.waiting.is_empty() {
                entry.last_progress = now;
            }
            entry.waiting.insert(index);
            entry.tasks.entry(index).or_default().backoff_until = None;
            self.update_queue(ix);
            self.needs_pass = true;
        }
    }

    /// Lets workers whose quarantine has ended take one task as a probe.
    fn end_quarantines(&mut self, now: Time) {
        while let Some((until, slot)) = self.quarantined.first().copied() {
            if until > now {
                return;
            }
            self.quarantined.pop_first();
            self.workers.probe(slot, now, &self.cfg);
            self.needs_pass = true;
        }
    }

    /// Updates a unit's place in its queue after a change.
    pub(crate) fn update_queue(&mut self, ix: UnitIx) {
        if let Some(entry) = self.units.get(ix) {
            self.queues.update(ix, entry, self.task_size(ix));
        }
    }

    /// Returns the size that is allocated for each task of a unit.
    pub(crate) fn task_size(&self, ix: UnitIx) -> Size {
        self.units.get(ix).map_or(Size::ZERO, |entry| {
            self.histories.get(entry.name_ix).size(entry.unit.size)
        })
    }

    /// Returns how long a task of a unit is expected to run.
    pub(crate) fn expected_run_time(&self, entry: &Entry) -> std::time::Duration {
        match entry.unit.kind {
            Kind::Service { .. } => SERVICE_RUN_TIME,
            _ => self
                .histories
                .get(entry.name_ix)
                .run_time(entry.unit.run_time),
        }
    }
}

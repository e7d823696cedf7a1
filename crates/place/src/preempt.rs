//! Preemption: choosing the running tasks whose interruption costs least, and interrupting them.

use std::collections::BTreeMap;

use model::{Class, Repeat, Size, Time};

use crate::{
    Decision, Placer,
    fit::Slot,
    reservations::{Preemption, Reservation, ReservedTask},
    teams::TeamIx,
    units::{Allocation, AllocationKind, Entry, TaskKey},
};

/// The maximum number of workers whose preemption cost is computed per preemption.
const MAX_COST_ESTIMATES: u32 = 24;

/// The fixed cost of an interruption, in milliseconds of the task's run time.
const INTERRUPTION_COST_MS: u64 = 5_000;

/// The cost of interrupting a standard task relative to a bulk task.
const STANDARD_COST_FACTOR: u64 = 4;

/// The cost of a worker for which it is not computed; it is only chosen if no other worker is.
const UNKNOWN_COST: u64 = u64::MAX;

impl Placer {
    /// Finds a worker where the room that is reserved for bulk units is already free and large
    /// enough for an urgent task of `size`, and cancels the reservations of bulk units there. Their
    /// tasks wait again and get new reservations later.
    pub(crate) fn take_bulk_reservation(&mut self, size: Size) -> Option<Slot> {
        let mut bulk: BTreeMap<Slot, Size> = BTreeMap::new();
        for reservation in self
            .reservations
            .by_id
            .values()
            .filter(|r| r.class == Class::Bulk)
        {
            for (slot, room) in &reservation.rooms {
                *bulk.entry(*slot).or_default() += *room;
            }
        }
        let (slot, _) = bulk.into_iter().find(|(slot, room)| {
            let worker = self.workers.get(*slot);
            let others = worker.reserved - *room;
            let wastes_accelerators = worker.spec.size.accelerators > 0 && size.accelerators == 0;
            !wastes_accelerators && worker.fits_beside_running(size + others)
        })?;
        self.cancel_reservations(|reservation| {
            reservation.class == Class::Bulk && reservation.rooms.contains_key(&slot)
        });
        Some(slot)
    }

    /// Reserves room for an urgent task on the worker where preemption costs least, and interrupts
    /// the victims there. Returns false if no worker has enough preemptible tasks.
    pub(crate) fn reserve_by_preemption(
        &mut self,
        now: Time,
        key: TaskKey,
        size: Size,
        out: &mut Vec<Decision>,
    ) -> bool {
        let mut estimates = 0;
        let index = self.workers.by_room_after_preemption();
        let best = index.best(size, |slot, _| {
            estimates += 1;
            if estimates > MAX_COST_ESTIMATES {
                return Some(UNKNOWN_COST);
            }
            self.choose_victims(now, slot, size, Class::Interactive)
                .map(|(cost, _)| cost)
        });
        let Some(slot) = best else {
            return false;
        };
        let Some((_, victims)) = self.choose_victims(now, slot, size, Class::Interactive) else {
            return false;
        };
        for victim in &victims {
            self.interrupt(*victim, out);
        }
        let (unit, index) = key;
        let task = ReservedTask { index, slot, size };
        self.reserve_task(unit, task);
        self.reservations.push(Reservation {
            unit,
            class: Class::Interactive,
            tasks: vec![task],
            rooms: BTreeMap::from([(slot, size)]),
            shadow_time: now,
            preemption: Preemption {
                victims,
                requested_at: Some(now),
            },
            is_preemptive: true,
        });
        true
    }

    /// Returns whether a running task may be interrupted for a unit of `class`.
    pub(crate) fn may_preempt(&self, class: Class, key: TaskKey) -> bool {
        let allocation = self.units.allocation(key);
        let is_lower = self.units.get(key.0).is_some_and(|e| e.class() < class);
        allocation.is_some_and(|allocation| {
            let is_allowed = allocation.kind == AllocationKind::Revocable
                || (allocation.kind.is_preemptible() && is_lower);
            is_allowed && !allocation.is_ending
        })
    }

    /// Returns the tasks to interrupt on a worker so that `size` fits beside the reservations
    /// there, and the sum of their costs. Returns `None` if no set of preemptible tasks frees
    /// enough.
    pub(crate) fn choose_victims(
        &self,
        now: Time,
        slot: Slot,
        size: Size,
        class: Class,
    ) -> Option<(u64, Vec<TaskKey>)> {
        let worker = self.workers.get(slot);
        let needed = worker.used + worker.reserved + size;
        let mut excess = needed - worker.spec.size;
        let mut candidates = Vec::new();
        for key in &worker.tasks {
            match self.units.allocation(*key) {
                Some(allocation) if allocation.is_ending => excess -= allocation.size,
                Some(allocation) if self.may_preempt(class, *key) => {
                    candidates.push((
                        self.interruption_cost(now, *key, allocation),
                        *key,
                        allocation.size,
                    ));
                }
                _ => {}
            }
        }
        candidates.sort_unstable_by_key(|(cost, key, _)| (*cost, *key));
        let mut chosen = Vec::new();
        for (cost, key, size) in candidates {
            if excess == Size::ZERO {
                break;
            }
            if reduces_excess(size, excess) {
                excess -= size;
                chosen.push((cost, key, size));
            }
        }
        if excess != Size::ZERO {
            return None;
        }
        self.drop_redundant_victims(slot, size, &mut chosen);
        let cost = chosen.iter().map(|(cost, ..)| *cost).sum();
        Some((cost, chosen.into_iter().map(|(_, key, _)| key).collect()))
    }

    /// Removes the victims, most expensive first, that are not needed for `size` to fit.
    fn drop_redundant_victims(
        &self,
        slot: Slot,
        size: Size,
        chosen: &mut Vec<(u64, TaskKey, Size)>,
    ) {
        let worker = self.workers.get(slot);
        let ending = worker
            .tasks
            .iter()
            .filter_map(|key| self.units.allocation(*key));
        let ending = ending.filter(|allocation| allocation.is_ending);
        let freed = ending.fold(Size::ZERO, |sum, allocation| sum + allocation.size);
        let needed = worker.used - freed + worker.reserved + size;
        for i in (0..chosen.len()).rev() {
            let others = chosen.iter().enumerate().filter(|(j, _)| *j != i);
            let others = others.fold(Size::ZERO, |sum, (_, (.., size))| sum + *size);
            if (needed - others).fits(&worker.spec.size) {
                chosen.remove(i);
            }
        }
    }

    /// Interrupts less urgent tasks of a team so that its quota allows `size` more for a unit of
    /// `class`.
    pub(crate) fn preempt_for_quota(
        &mut self,
        team: TeamIx,
        class: Class,
        size: Size,
        out: &mut Vec<Decision>,
    ) {
        if !self.cfg.is_preemption_enabled {
            return;
        }
        let mut excess = self.teams.excess(team, size);
        let mut candidates = Vec::new();
        for key in self.teams.preemptible(team) {
            match self.units.allocation(key) {
                Some(allocation) if allocation.is_ending => excess -= allocation.size,
                Some(allocation) if allocation.class < class => {
                    candidates.push((key, allocation.size));
                }
                _ => {}
            }
        }
        for (key, size) in candidates {
            if excess == Size::ZERO {
                return;
            }
            if reduces_excess(size, excess) {
                excess -= size;
                self.interrupt(key, out);
            }
        }
    }

    /// Returns the cost of interrupting a task: its run time so far plus a fixed cost, weighted by
    /// its processors, its earlier preemptions and its class.
    fn interruption_cost(&self, now: Time, key: TaskKey, allocation: &Allocation) -> u64 {
        let entry = self.units.get(key.0);
        let ran = u64::try_from(now.since(allocation.since).as_millis()).unwrap_or(u64::MAX);
        let preemptions = entry
            .and_then(|e| e.tasks.get(&key.1))
            .map_or(0, |task| u64::from(task.preemptions));
        let weight = allocation.size.milli_processors / 100 + 1;
        let cost = (ran + INTERRUPTION_COST_MS) * weight * (1 + preemptions);
        match entry.map(Entry::class) {
            Some(Class::Bulk) => cost,
            _ => cost * STANDARD_COST_FACTOR,
        }
    }

    /// Interrupts a task: checkpoints it, or stops it if it must not be repeated. Does nothing if
    /// the task is already ending.
    pub(crate) fn interrupt(&mut self, key: TaskKey, out: &mut Vec<Decision>) {
        let Some(allocation) = self.units.allocation_mut(key) else {
            return;
        };
        if allocation.is_ending {
            return;
        }
        allocation.is_ending = true;
        let slot = allocation.slot;
        let Some(entry) = self.units.get(key.0) else {
            return;
        };
        if entry.unit.repeat == Repeat::Never {
            self.push_stop(key, out);
            return;
        }
        out.push(Decision::Checkpoint {
            task: entry.task_id(key.1),
            worker: self.workers.get(slot).spec.id,
        });
    }
}

/// Returns whether freeing `size` reduces the excess in some dimension.
const fn reduces_excess(size: Size, excess: Size) -> bool {
    (excess.milli_processors > 0 && size.milli_processors > 0)
        || (excess.memory_mb > 0 && size.memory_mb > 0)
        || (excess.accelerators > 0 && size.accelerators > 0)
}

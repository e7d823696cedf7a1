//! Reservations: room that is set aside for a waiting unit until all of it is free.
//!
//! A reservation covers all tasks that a unit starts together: those of a gang, or a single one.
//! Its room is on workers whose other tasks end by themselves or are interrupted, and no two
//! reservations hold the same room. Reservations therefore cannot deadlock: each becomes free in
//! the end, whatever the others wait for.

use std::collections::BTreeMap;

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    fit::Slot,
    units::{TaskKey, UnitIx},
};

/// The maximum number of workers that are examined for one task.
pub(crate) const MAX_WORKERS_SCANNED: usize = 48;

/// The reserved room of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservedTask {
    pub(crate) index: u32,
    pub(crate) slot: Slot,
    pub(crate) size: Size,
}

/// Tasks that were interrupted to make room, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preemption {
    pub(crate) victims: Vec<TaskKey>,
    /// When the victims were last told to end; `None` before that.
    pub(crate) requested_at: Option<Time>,
}

/// The reserved room of all tasks that a unit starts together.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) unit: UnitIx,
    pub(crate) class: Class,
    pub(crate) tasks: Vec<ReservedTask>,
    /// The reserved room by worker.
    pub(crate) rooms: BTreeMap<Slot, Size>,
    /// When the room is expected to be free (the shadow time of backfill scheduling).
    pub(crate) shadow_time: Time,
    pub(crate) preemption: Preemption,
    /// Whether it was made by preemption for an interactive task.
    pub(crate) is_preemptive: bool,
}

/// All reservations, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    pub(crate) by_id: BTreeMap<u64, Reservation>,
    next_id: u64,
}

impl Reservations {
    pub(crate) fn push(&mut self, reservation: Reservation) {
        self.by_id.insert(self.next_id, reservation);
        self.next_id += 1;
    }

    /// Returns the number of reservations for overdue units, either of the bulk class or of the
    /// other classes.
    pub(crate) fn count_overdue(&self, is_bulk: bool) -> usize {
        let reservations = self.by_id.values();
        reservations
            .filter(|reservation| {
                !reservation.is_preemptive && (reservation.class == Class::Bulk) == is_bulk
            })
            .count()
    }
}

impl Placer {
    /// Reserves room for a waiting task. It counts against the team's quota from now on.
    pub(crate) fn reserve_task(&mut self, unit: UnitIx, task: ReservedTask) {
        self.workers.reserve(task.slot, task.size, &self.cfg);
        if let Some(entry) = self.units.get_mut(unit) {
            self.teams.add_used(entry.team, task.size);
            entry.waiting.remove(&task.index);
            entry.tasks.entry(task.index).or_default().is_reserved = true;
        }
        self.update_queue(unit);
    }

    /// Gives a task's reserved room back. The task waits again.
    pub(crate) fn unreserve_task(&mut self, unit: UnitIx, task: ReservedTask) {
        self.workers.unreserve(task.slot, task.size, &self.cfg);
        if let Some(entry) = self.units.get_mut(unit) {
            self.teams.sub_used(entry.team, task.size);
            entry.waiting.insert(task.index);
            entry.tasks.entry(task.index).or_default().is_reserved = false;
        }
        self.update_queue(unit);
        self.needs_pass = true;
    }

    /// Cancels the reservations for which `predicate` returns true. Their tasks wait again.
    pub(crate) fn cancel_reservations(&mut self, predicate: impl Fn(&Reservation) -> bool) {
        let reservations = self.reservations.by_id.iter();
        let ids: Vec<u64> = reservations
            .filter(|(_, reservation)| predicate(reservation))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.cancel_reservation(id);
        }
    }

    fn cancel_reservation(&mut self, id: u64) {
        let Some(reservation) = self.reservations.by_id.remove(&id) else {
            return;
        };
        for task in reservation.tasks {
            self.unreserve_task(reservation.unit, task);
        }
    }

    /// Starts the tasks of reservations whose room is free, and preempts for those that are due.
    pub(crate) fn settle_reservations(&mut self, now: Time, out: &mut Vec<Decision>) {
        let ids: Vec<u64> = self.reservations.by_id.keys().copied().collect();
        for id in ids {
            if self.is_reservation_free(id) {
                self.start_reserved(now, id, out);
            } else {
                self.preempt_for_reservation(now, id, out);
            }
        }
    }

    /// Returns whether the room of a reservation is free in addition to that of older reservations.
    /// Without counting these, a series of younger reservations could use up the room that an older
    /// one waits for.
    fn is_reservation_free(&self, id: u64) -> bool {
        let rooms = &self.reservations.by_id[&id].rooms;
        rooms.iter().all(|(slot, size)| {
            let older = self.reservations.by_id.range(..id);
            let older_size = older.filter_map(|(_, reservation)| reservation.rooms.get(slot));
            let older_size = older_size.fold(Size::ZERO, |sum, size| sum + *size);
            let worker = self.workers.get(*slot);
            worker.fits_beside_running(*size + older_size)
        })
    }

    /// Starts the tasks of a reservation in their reserved room.
    fn start_reserved(&mut self, now: Time, id: u64, out: &mut Vec<Decision>) {
        let Some(reservation) = self.reservations.by_id.remove(&id) else {
            return;
        };
        for task in reservation.tasks {
            self.unreserve_task(reservation.unit, task);
            let key = (reservation.unit, task.index);
            self.place_task(now, key, task.slot, task.size, false);
            self.push_start(key, out);
        }
    }

    /// Interrupts the tasks in the room of a reservation that is past its shadow time, or stops
    /// those that were interrupted before and did not end in time.
    fn preempt_for_reservation(&mut self, now: Time, id: u64, out: &mut Vec<Decision>) {
        let reservation = &self.reservations.by_id[&id];
        if now < reservation.shadow_time && reservation.preemption.requested_at.is_none() {
            return;
        }
        let mut preemption = reservation.preemption.clone();
        let class = reservation.class;
        if preemption.requested_at.is_none() {
            let slots: Vec<Slot> = reservation.rooms.keys().copied().collect();
            for slot in slots {
                preemption
                    .victims
                    .extend(self.blocking_tasks(now, slot, class));
            }
            if preemption.victims.is_empty() {
                return;
            }
            for victim in &preemption.victims {
                self.interrupt(*victim, out);
            }
            preemption.requested_at = Some(now);
        } else {
            self.stop_overdue_victims(now, &mut preemption, out);
        }
        if let Some(reservation) = self.reservations.by_id.get_mut(&id) {
            reservation.preemption = preemption;
        }
    }

    /// Stops the victims that did not end within the checkpoint timeout.
    pub(crate) fn stop_overdue_victims(
        &mut self,
        now: Time,
        preemption: &mut Preemption,
        out: &mut Vec<Decision>,
    ) {
        let Some(requested_at) = preemption.requested_at else {
            return;
        };
        if now < requested_at + self.cfg.checkpoint_timeout {
            return;
        }
        preemption
            .victims
            .retain(|victim| self.units.allocation(*victim).is_some_and(|a| a.is_ending));
        for victim in &preemption.victims {
            self.push_stop(*victim, out);
        }
        preemption.requested_at = (!preemption.victims.is_empty()).then_some(now);
    }

    /// Returns the tasks to interrupt on a worker for an overdue reservation of `class`: the
    /// cheapest set that frees enough room, or all preemptible tasks if none does.
    fn blocking_tasks(&self, now: Time, slot: Slot, class: Class) -> Vec<TaskKey> {
        // The room of the reservation is already part of the worker's reserved room.
        let extra = Size::ZERO;
        if let Some((_, victims)) = self.choose_victims(now, slot, extra, class) {
            return victims;
        }
        let tasks = self.workers.get(slot).tasks.iter();
        tasks
            .filter(|key| self.may_preempt(class, **key))
            .copied()
            .collect()
    }

    /// Returns a worker with reserved room that a task ending by `until` may use in the meantime.
    pub(crate) fn backfill_slot(&self, until: Time, size: Size) -> Option<Slot> {
        let reservations = self.reservations.by_id.values();
        let rooms = reservations
            .filter(|reservation| {
                reservation.preemption.requested_at.is_none() && until <= reservation.shadow_time
            })
            .flat_map(|reservation| reservation.rooms.keys().copied());
        rooms.take(MAX_WORKERS_SCANNED).find(|slot| {
            let worker = self.workers.get(*slot);
            let wastes_accelerators = worker.spec.size.accelerators > 0 && size.accelerators == 0;
            !wastes_accelerators
                && worker.fits_beside_running(size)
                && self.earliest_shadow_time(*slot) >= until
        })
    }

    /// Returns the earliest shadow time of the reservations on a worker.
    fn earliest_shadow_time(&self, slot: Slot) -> Time {
        let reservations = self.reservations.by_id.values();
        let on_worker = reservations.filter(|reservation| reservation.rooms.contains_key(&slot));
        on_worker
            .map(|reservation| reservation.shadow_time)
            .min()
            .unwrap_or(Time::MAX)
    }
}

//! Overdue units: finding the units that have waited too long, and reserving room for them.

use std::{collections::BTreeMap, time::Duration};

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    fit::Slot,
    reservations::{MAX_WORKERS_SCANNED, Preemption, Reservation, ReservedTask},
    teams::{Claim, TeamIx},
    unfit::UnfitSizes,
    units::{AllocationKind, UnitIx},
};

/// The maximum number of workers per task for which the time to drain is estimated.
const MAX_DRAIN_ESTIMATES: usize = 16;

/// The time between two attempts to reserve room for the same unit.
const RESERVATION_RETRY: Duration = Duration::from_secs(1);

/// The time between two searches for overdue units.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The number of units at the head of each queue whose waiting time is checked.
const MAX_UNITS_CHECKED: usize = 4;

impl Placer {
    /// Reserves room for overdue units, the longest overdue first.
    pub(crate) fn reserve_for_overdue(&mut self, now: Time, out: &mut Vec<Decision>) {
        if now < self.next_overdue_check {
            return;
        }
        self.next_overdue_check = now + OVERDUE_CHECK_INTERVAL;
        self.teams.drop_claims();
        if self.queues.is_empty() {
            return;
        }
        let mut overdue = Vec::new();
        for class in Class::URGENT_FIRST {
            let teams: Vec<TeamIx> = self.queues.teams(class).collect();
            for team in teams {
                self.collect_overdue(now, class, team, &mut overdue, out);
            }
        }
        overdue.sort_unstable();
        self.reserve_for_units(now, &overdue, true);
        self.reserve_for_units(now, &overdue, false);
    }

    /// Reserves room for the overdue units that are bulk work, or for those that are not, up to the
    /// configured number of reservations.
    fn reserve_for_units(&mut self, now: Time, overdue: &[(Time, u64, UnitIx)], is_bulk: bool) {
        let max = if is_bulk {
            self.cfg.max_bulk_reservations
        } else {
            self.cfg.max_urgent_reservations
        };
        let remaining = max.saturating_sub(self.reservations.count_overdue(is_bulk));
        let of_class = |unit: &UnitIx| {
            let entry = self.units.get(*unit);
            entry.is_some_and(|e| (e.class() == Class::Bulk) == is_bulk)
        };
        let units = overdue.iter().map(|(.., unit)| *unit);
        let units: Vec<UnitIx> = units.filter(of_class).take(remaining).collect();
        for unit in units {
            // The reservations for earlier units may have used up the team's quota.
            if !self.quota_allows(unit, self.next_start_size(unit)) {
                continue;
            }
            if !self.reserve_for_unit(now, unit)
                && let Some(entry) = self.units.get_mut(unit)
            {
                entry.reserve_retry_at = now + RESERVATION_RETRY;
            }
        }
    }

    /// Returns whether the quota of the unit's team allows `size` more for the unit.
    pub(crate) fn quota_allows(&self, unit: UnitIx, size: Size) -> bool {
        let entry = self.units.get(unit);
        entry.is_some_and(|e| self.teams.allows_unit(e.team, unit, e.class(), size))
    }

    /// Appends to `overdue` the first overdue unit of a queue whose next start the team's quota
    /// allows. For overdue units whose start exceeds the quota, preempts less urgent tasks of the
    /// team. The quota that is freed next is claimed for the first such unit, because smaller units
    /// would otherwise take it each time.
    fn collect_overdue(
        &mut self,
        now: Time,
        class: Class,
        team: TeamIx,
        overdue: &mut Vec<(Time, u64, UnitIx)>,
        out: &mut Vec<Decision>,
    ) {
        let first_units = self
            .queues
            .team_queue(class, team, 0)
            .take(MAX_UNITS_CHECKED);
        let first_units: Vec<(u64, UnitIx)> =
            first_units.map(|(seq, unit, _)| (seq, unit)).collect();
        for (seq, unit) in first_units {
            let Some(entry) = self.units.get(unit) else {
                continue;
            };
            let start_size = self.next_start_size(unit);
            let overdue_at = entry.last_progress + self.cfg.reservation_delay(class);
            if now < overdue_at {
                continue;
            }
            let reserve_retry_at = entry.reserve_retry_at;
            if !self.teams.allows(team, start_size) {
                let size = start_size;
                self.teams.claim(team, Claim { unit, class, size });
                self.preempt_for_quota(team, class, size, out);
            } else if now >= reserve_retry_at && self.quota_allows(unit, start_size) {
                overdue.push((overdue_at, seq, unit));
                return;
            }
        }
    }

    /// Returns what the unit's next start takes from its team's quota.
    pub(crate) fn next_start_size(&self, unit: UnitIx) -> Size {
        let size = self.task_size(unit);
        match self.units.get(unit) {
            Some(entry) if entry.is_gang() => {
                size.saturating_mul(u32::try_from(entry.waiting.len()).unwrap_or(u32::MAX))
            }
            _ => size,
        }
    }

    /// Reserves room for a unit's next task, or for all waiting tasks of a gang. Returns false and
    /// reserves nothing if the room cannot be found.
    fn reserve_for_unit(&mut self, now: Time, unit: UnitIx) -> bool {
        let size = self.task_size(unit);
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        let class = entry.class();
        let max_tasks = if entry.is_gang() { usize::MAX } else { 1 };
        let indexes: Vec<u32> = entry.waiting.iter().copied().take(max_tasks).collect();
        let mut reservation = Reservation {
            unit,
            class,
            tasks: Vec::with_capacity(indexes.len()),
            rooms: BTreeMap::new(),
            shadow_time: now,
            preemption: Preemption::default(),
            is_preemptive: false,
        };
        for index in indexes {
            let Some((shadow_time, slot)) = self.earliest_worker(now, class, size) else {
                for task in reservation.tasks {
                    self.unreserve_task(unit, task);
                }
                return false;
            };
            let task = ReservedTask { index, slot, size };
            self.reserve_task(unit, task);
            reservation.tasks.push(task);
            *reservation.rooms.entry(slot).or_default() += size;
            reservation.shadow_time = reservation.shadow_time.max(shadow_time);
        }
        if class > Class::Bulk && self.cfg.is_preemption_enabled {
            reservation.shadow_time = reservation.shadow_time.min(now + self.cfg.preempt_after);
        }
        self.reservations.push(reservation);
        self.unfit_sizes
            .values_mut()
            .for_each(UnfitSizes::reservations_added);
        true
    }

    /// Returns the worker that is expected to have room for `size` first, and when. Only a few
    /// workers with much free room are examined.
    fn earliest_worker(&self, now: Time, class: Class, size: Size) -> Option<(Time, Slot)> {
        let index = if size.accelerators > 0 {
            self.workers.accelerated()
        } else {
            self.workers.general()
        };
        let candidates = index.roomiest().take(MAX_WORKERS_SCANNED);
        let estimates =
            candidates.filter_map(|slot| Some((self.room_available_at(now, slot, size)?, slot)));
        let best = estimates.take(MAX_DRAIN_ESTIMATES).min();
        best.or_else(|| {
            let is_interactive = class == Class::Interactive;
            let score = |slot, _| {
                let is_usable = is_interactive || !self.workers.get(slot).is_interactive_only;
                is_usable.then(|| self.room_available_at(now, slot, size))?
            };
            let slot = self.workers.by_room_after_completion().best(size, score)?;
            Some((self.room_available_at(now, slot, size)?, slot))
        })
    }

    /// Returns when enough tasks on a worker are expected to have ended for `size` to fit, or
    /// `None` if it never will.
    fn room_available_at(&self, now: Time, slot: Slot, size: Size) -> Option<Time> {
        let worker = self.workers.get(slot);
        let mut used = worker.used;
        let fits = |used: Size| (used + worker.reserved + size).fits(&worker.spec.size);
        if fits(used) {
            return Some(now);
        }
        let allocations = worker
            .tasks
            .iter()
            .filter_map(|key| self.units.allocation(*key));
        let mut ends: Vec<(Time, Size)> = allocations
            .filter(|allocation| allocation.kind != AllocationKind::Service)
            .map(|allocation| {
                (
                    estimate_end(now, allocation.since, allocation.expected_end),
                    allocation.size,
                )
            })
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        ends.into_iter().find_map(|(end, size)| {
            used -= size;
            fits(used).then_some(end)
        })
    }
}

/// Estimates when a task ends. A task that has run longer than expected is assumed to need half of
/// its run time so far again.
fn estimate_end(now: Time, since: Time, expected_end: Time) -> Time {
    if now < expected_end {
        expected_end
    } else {
        now + now.since(since) / 2
    }
}

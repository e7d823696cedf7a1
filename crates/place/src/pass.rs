//! One pass over the queues: class by class, and within a class the team with the smallest share
//! first.

use std::{collections::BTreeSet, time::Duration};

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    config::Backfill,
    fit::Slot,
    queues::QueuedUnit,
    teams::TeamIx,
    unfit::{RoomKind, UnfitSizes},
    units::{Entry, TaskKey, UnitIx},
};

/// Preemptions begun in one pass.
const MAX_PREEMPTIONS_PER_PASS: u32 = 64;

/// A gang that found no room is tried again after this time, if anything has changed.
const GANG_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A team's turn: its share, itself, where its line goes on, and how many units were passed over.
type Turn = (u64, TeamIx, u64, usize);

/// What one pass remembers.
#[derive(Debug, Default)]
struct PassState {
    not_preemptible: UnfitSizes,
    preemptions: u32,
    /// The length of `out` at which the pass ends.
    limit: usize,
}

impl Placer {
    /// Starts what there is room for.
    pub(crate) fn pass(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.needs_pass = false;
        let mut pass = PassState {
            limit: out.len() + self.cfg.max_starts_per_call,
            ..PassState::default()
        };
        for room in self.workers.take_grown() {
            self.unfit_sizes
                .values_mut()
                .for_each(|sizes| sizes.room_grown(room));
        }
        for class in Class::URGENT_FIRST {
            self.pass_class(now, class, &mut pass, out);
            if out.len() >= pass.limit {
                self.needs_pass = true;
                return;
            }
        }
    }

    fn pass_class(
        &mut self,
        now: Time,
        class: Class,
        pass: &mut PassState,
        out: &mut Vec<Decision>,
    ) {
        let teams = self.queues.teams(class);
        let mut turns: BTreeSet<Turn> = teams
            .map(|team| (self.teams.dominant_share(team), team, 0, 0))
            .collect();
        while let Some((_, team, next_seq, skipped)) = turns.pop_first() {
            if out.len() >= pass.limit {
                return;
            }
            let Some((seq, unit, skipped)) = self.next_unit(class, team, next_seq, skipped) else {
                continue;
            };
            let turn = if self.start_next(now, unit, pass, out) {
                (self.teams.dominant_share(team), team, seq, skipped)
            } else {
                (self.teams.dominant_share(team), team, seq + 1, skipped + 1)
            };
            turns.insert(turn);
        }
    }

    /// The next unit of a line for which there may be room, and how many were passed over before it.
    fn next_unit(
        &self,
        class: Class,
        team: TeamIx,
        next_seq: u64,
        mut skipped: usize,
    ) -> Option<(u64, UnitIx, usize)> {
        let unfit_sizes = &self.unfit_sizes[&class];
        // Interactive work is looked at in any case: it may preempt.
        let cannot_start = |queued: &QueuedUnit| {
            class != Class::Interactive && unfit_sizes.covers(queued.room_kind, queued.size)
        };
        for (seq, unit, queued) in self.queues.team_queue(class, team, next_seq) {
            if skipped > self.cfg.scan_depth {
                return None;
            }
            if !cannot_start(queued) {
                return Some((seq, unit, skipped));
            }
            skipped += 1;
        }
        None
    }

    /// Starts the next task of a unit, or all tasks of a gang, and returns whether it did.
    fn start_next(
        &mut self,
        now: Time,
        unit: UnitIx,
        pass: &mut PassState,
        out: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        if entry.is_gang() {
            return self.start_gang(now, unit, out);
        }
        let Some(index) = entry.waiting.first().copied() else {
            return false;
        };
        let size = self.task_size(unit);
        if !self.quota_allows(unit, size) {
            return false;
        }
        let (room_kind, class) = (entry.room_kind(), entry.class());
        if !self.unfit_sizes[&class].covers(room_kind, size) {
            if let Some((slot, revocable)) = self.find_worker(now, unit, index, size) {
                self.place_task(now, (unit, index), slot, size, revocable);
                self.push_start((unit, index), out);
                return true;
            }
            if !self.avoids_failed_workers(entry, index) {
                self.unfit_sizes
                    .entry(class)
                    .or_default()
                    .add(room_kind, size);
            }
        }
        class == Class::Interactive && self.preempt(now, (unit, index), size, pass, out)
    }

    fn preempt(
        &mut self,
        now: Time,
        key: TaskKey,
        size: Size,
        pass: &mut PassState,
        out: &mut Vec<Decision>,
    ) -> bool {
        let is_exhausted = pass.preemptions >= MAX_PREEMPTIONS_PER_PASS;
        if !self.cfg.is_preemption_enabled
            || is_exhausted
            || pass.not_preemptible.covers(RoomKind::NonPreemptible, size)
        {
            return false;
        }
        if let Some(slot) = self.take_bulk_reservation(size) {
            self.place_task(now, key, slot, size, false);
            self.push_start(key, out);
            return true;
        }
        if self.reserve_by_preemption(now, key, size, out) {
            pass.preemptions += 1;
            return true;
        }
        pass.not_preemptible.add(RoomKind::NonPreemptible, size);
        false
    }

    /// Reserves room for all tasks of a gang, then starts them; or holds nothing.
    fn start_gang(&mut self, now: Time, unit: UnitIx, out: &mut Vec<Decision>) -> bool {
        let size = self.task_size(unit);
        let at_once = self.next_start_size(unit);
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        if now < entry.retry_at {
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
            return false;
        }
        let cannot_start = !self.quota_allows(unit, at_once)
            || !at_once.fits(&self.workers.free())
            || self.unfit_sizes[&entry.class()].covers(entry.room_kind(), size);
        if cannot_start {
            return false;
        }
        let since = entry.last_progress;
        let indexes: Vec<u32> = entry.waiting.iter().copied().collect();
        let mut reserved = Vec::with_capacity(indexes.len());
        for index in indexes {
            let Some((slot, _)) = self.find_worker(now, unit, index, size) else {
                break;
            };
            self.place_task(now, (unit, index), slot, size, false);
            reserved.push((unit, index));
        }
        if self.units.get(unit).is_some_and(|e| e.waiting.is_empty()) {
            for key in reserved {
                self.push_start(key, out);
            }
            return true;
        }
        for key in reserved {
            self.undo_placement(key);
        }
        if let Some(entry) = self.units.get_mut(unit) {
            // A try that found too little room is no progress.
            entry.last_progress = since;
            entry.retry_at = now + GANG_RETRY_INTERVAL;
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
        }
        false
    }

    /// Whether the task is kept off workers on which it failed.
    fn avoids_failed_workers(&self, entry: &Entry, index: u32) -> bool {
        let failed_on = entry.tasks.get(&index).map_or(0, |t| t.failed_on.len());
        failed_on > 0 && failed_on * 2 < self.workers.open_count() as usize
    }

    /// A worker with room for a task, and whether that room is kept for another unit.
    fn find_worker(&self, now: Time, unit: UnitIx, index: u32, size: Size) -> Option<(Slot, bool)> {
        let entry = self.units.get(unit)?;
        if let Some(slot) = self.find_probe(entry, size) {
            return Some((slot, false));
        }
        if let Some(slot) = self.find_free((unit, index), entry, size) {
            return Some((slot, false));
        }
        let may_backfill = entry.allows_preemption() && self.cfg.backfill == Backfill::Revocable;
        let may_backfill = may_backfill && entry.is_preemptible(index, self.cfg.max_preemptions);
        if !may_backfill || self.avoids_failed_workers(entry, index) {
            return None;
        }
        let until = now + self.expected_run_time(entry);
        Some((self.backfill_slot(until, size)?, true))
    }

    /// A worker that is probed after its quarantine.
    fn find_probe(&self, entry: &Entry, size: Size) -> Option<Slot> {
        if !entry.allows_preemption() {
            return None;
        }
        let mut probes = self.workers.probes().iter();
        probes
            .find(|slot| size.fits(&self.workers.get(**slot).free()))
            .copied()
    }

    fn find_free(&self, key: TaskKey, entry: &Entry, size: Size) -> Option<Slot> {
        let (unit, index) = key;
        let failed_on = match entry.tasks.get(&index) {
            Some(task) if self.avoids_failed_workers(entry, index) => task.failed_on.as_slice(),
            _ => &[],
        };
        let score = |slot: Slot, room: Size| {
            let whole = self.workers.get(slot).spec.size;
            let usable = !failed_on.contains(&slot);
            usable.then(|| self.cfg.fit.score(size, room, whole))
        };
        let workers = &self.workers;
        if size.accelerators > 0 {
            return workers.accelerated().best(size, score);
        }
        if entry.is_service()
            && let Some(slot) = self.find_spread(unit, entry, size, score)
        {
            return Some(slot);
        }
        let is_urgent = entry.class() == Class::Interactive;
        let general = workers.general().best(size, score);
        let is_service = entry.is_service();
        let accelerator_host = || {
            // Bulk work makes way as soon as the accelerators are asked for.
            let index = if entry.class() == Class::Bulk && entry.allows_preemption() {
                workers.accelerated()
            } else {
                workers.accelerated_general()
            };
            (!is_service).then(|| index.best(size, score))?
        };
        let interactive_only = || is_urgent.then(|| workers.interactive().best(size, score))?;
        let last_resort = || {
            let is_needed = !self.fits_general_worker(size, is_urgent);
            is_needed.then(|| workers.accelerated().best(size, score))?
        };
        general
            .or_else(accelerator_host)
            .or_else(interactive_only)
            .or_else(last_resort)
    }

    /// A worker without a replica, in a rack with as few of them as any.
    fn find_spread(
        &self,
        unit: UnitIx,
        entry: &Entry,
        size: Size,
        score: impl Fn(Slot, Size) -> Option<u64>,
    ) -> Option<Slot> {
        let fewest = if entry.racks.len() < self.workers.rack_count() {
            0
        } else {
            entry.racks.values().min().copied().unwrap_or(0)
        };
        let in_rack = |slot: Slot| {
            let rack = self.workers.get(slot).spec.rack;
            entry.racks.get(&rack).copied().unwrap_or(0)
        };
        let has_no_replica = |slot: Slot| !self.workers.get(slot).runs_any_of(unit);
        (fewest..=fewest + 1).find_map(|max_in_rack| {
            let spread = |slot, room| {
                let is_spread = in_rack(slot) <= max_in_rack && has_no_replica(slot);
                is_spread.then(|| score(slot, room))?
            };
            self.workers.general().best(size, spread)
        })
    }
}

//! One pass over the queues. Classes are served from the most to the least urgent; within a class,
//! the team with the smallest dominant share of its quota goes first.

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

/// The maximum number of preemptions that one pass starts.
const MAX_PREEMPTIONS_PER_PASS: u32 = 64;

/// The minimum time between two attempts to place a gang that found no room.
const GANG_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A team's turn in a pass: its dominant share, the team, the sequence number at which its queue
/// continues, and the number of units skipped so far.
type Turn = (u64, TeamIx, u64, usize);

/// The state of one pass.
#[derive(Debug, Default)]
struct PassState {
    /// The sizes for which no preemption was possible.
    not_preemptible: UnfitSizes,
    preemptions: u32,
    /// The length of the list of decisions at which the pass ends.
    limit: usize,
}

impl Placer {
    /// Starts the queued tasks for which there is room.
    pub(crate) fn pass(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.needs_pass = false;
        let mut pass = PassState {
            limit: out.len() + self.cfg.max_starts_per_call,
            ..PassState::default()
        };
        for room in self.workers.take_freed_rooms() {
            self.unfit_sizes
                .values_mut()
                .for_each(|sizes| sizes.room_freed(room));
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

    /// Returns the next unit of a team's queue for which there may be room, with its sequence
    /// number and the number of units skipped up to it.
    fn next_unit(
        &self,
        class: Class,
        team: TeamIx,
        next_seq: u64,
        mut skipped: usize,
    ) -> Option<(u64, UnitIx, usize)> {
        let unfit_sizes = &self.unfit_sizes[&class];
        // Interactive units are never skipped, because they may preempt.
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

    /// Starts the next waiting task of a unit, or all waiting tasks of a gang. Returns whether room
    /// was found or is being made by preemption.
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
            if let Some((slot, is_revocable)) = self.find_worker(now, unit, index, size) {
                self.place_task(now, (unit, index), slot, size, is_revocable);
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

    /// Finds room for an interactive task at the cost of less urgent work. Returns false if there
    /// is none.
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

    /// Starts all waiting tasks of a gang, or allocates nothing if they do not all find room.
    fn start_gang(&mut self, now: Time, unit: UnitIx, out: &mut Vec<Decision>) -> bool {
        let size = self.task_size(unit);
        let start_size = self.next_start_size(unit);
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        if now < entry.retry_at {
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
            return false;
        }
        let cannot_start = !self.quota_allows(unit, start_size)
            || !start_size.fits(&self.workers.free())
            || self.unfit_sizes[&entry.class()].covers(entry.room_kind(), size);
        if cannot_start {
            return false;
        }
        let last_progress = entry.last_progress;
        let indexes: Vec<u32> = entry.waiting.iter().copied().collect();
        let mut placed = Vec::with_capacity(indexes.len());
        for index in indexes {
            let Some((slot, _)) = self.find_worker(now, unit, index, size) else {
                break;
            };
            self.place_task(now, (unit, index), slot, size, false);
            placed.push((unit, index));
        }
        if self.units.get(unit).is_some_and(|e| e.waiting.is_empty()) {
            for key in placed {
                self.push_start(key, out);
            }
            return true;
        }
        for key in placed {
            self.undo_placement(key);
        }
        if let Some(entry) = self.units.get_mut(unit) {
            // `place_task` has updated the time of the last progress, but the gang did not start.
            entry.last_progress = last_progress;
            entry.retry_at = now + GANG_RETRY_INTERVAL;
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
        }
        false
    }

    /// Returns whether the task avoids the workers on which it failed. It does not once it failed
    /// on half of the open workers.
    fn avoids_failed_workers(&self, entry: &Entry, index: u32) -> bool {
        let failed_on = entry.tasks.get(&index).map_or(0, |t| t.failed_on.len());
        failed_on > 0 && failed_on * 2 < self.workers.open_count() as usize
    }

    /// Returns a worker with room for a task, and whether that room is reserved for another unit.
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

    /// Returns a worker that is to be probed after its quarantine. Only tasks that may be
    /// interrupted serve as probes.
    fn find_probe(&self, entry: &Entry, size: Size) -> Option<Slot> {
        if !entry.allows_preemption() {
            return None;
        }
        let mut probes = self.workers.probes().iter();
        probes
            .find(|slot| size.fits(&self.workers.get(**slot).free()))
            .copied()
    }

    /// Returns a worker with room that is not reserved.
    fn find_free(&self, key: TaskKey, entry: &Entry, size: Size) -> Option<Slot> {
        let (unit, index) = key;
        let failed_on = match entry.tasks.get(&index) {
            Some(task) if self.avoids_failed_workers(entry, index) => task.failed_on.as_slice(),
            _ => &[],
        };
        let score = |slot: Slot, room: Size| {
            let whole = self.workers.get(slot).spec.size;
            let is_usable = !failed_on.contains(&slot);
            is_usable.then(|| self.cfg.fit.score(size, room, whole))
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
        let is_interactive = entry.class() == Class::Interactive;
        let general = workers.general().best(size, score);
        let is_service = entry.is_service();
        let accelerator_host = || {
            // Preemptible bulk work may use all of the host: it is interrupted once the
            // accelerators are needed.
            let index = if entry.class() == Class::Bulk && entry.allows_preemption() {
                workers.accelerated()
            } else {
                workers.accelerated_general()
            };
            (!is_service).then(|| index.best(size, score))?
        };
        let interactive_only =
            || is_interactive.then(|| workers.interactive().best(size, score))?;
        let last_resort = || {
            let is_needed = !self.fits_general_worker(size, is_interactive);
            is_needed.then(|| workers.accelerated().best(size, score))?
        };
        general
            .or_else(accelerator_host)
            .or_else(interactive_only)
            .or_else(last_resort)
    }

    /// Returns a worker without a replica of the service, in the rack with the fewest replicas or,
    /// failing that, in a rack with one more.
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
        let replicas_in_rack = |slot: Slot| {
            let rack = self.workers.get(slot).spec.rack;
            entry.racks.get(&rack).copied().unwrap_or(0)
        };
        let has_no_replica = |slot: Slot| !self.workers.get(slot).runs_any_of(unit);
        (fewest..=fewest + 1).find_map(|max_in_rack| {
            let spread = |slot, room| {
                let is_spread = replicas_in_rack(slot) <= max_in_rack && has_no_replica(slot);
                is_spread.then(|| score(slot, room))?
            };
            self.workers.general().best(size, spread)
        })
    }
}

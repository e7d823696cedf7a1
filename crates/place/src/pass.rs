//! One pass over the queues: class by class, and within a class the team with the smallest share
//! first.

use std::{collections::BTreeSet, time::Duration};

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    config::Backfill,
    failed::{Failed, Need},
    fit::Slot,
    queues::Queued,
    teams::TeamIx,
    units::{Entry, TaskKey, UnitIx},
};

/// Preemptions begun in one pass.
const PREEMPTIONS_PER_PASS: u32 = 64;

/// A gang that found no room is tried again after this time, if anything has changed.
const GANG_RETRY: Duration = Duration::from_millis(200);

/// A team's turn: its share, itself, where its line goes on, and how many units were passed over.
type Turn = (u64, TeamIx, u64, usize);

/// What one pass remembers.
#[derive(Debug, Default)]
struct Pass {
    not_preemptible: Failed,
    preemptions: u32,
    /// The length of `out` at which the pass ends.
    limit: usize,
}

impl Placer {
    /// Starts what there is room for.
    pub(crate) fn pass(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.dirty = false;
        let mut pass = Pass {
            limit: out.len() + self.cfg.max_starts_per_call,
            ..Pass::default()
        };
        for room in self.workers.take_grown() {
            self.no_room
                .values_mut()
                .for_each(|failed| failed.grown(room));
        }
        for class in Class::URGENT_FIRST {
            self.pass_class(now, class, &mut pass, out);
            if out.len() >= pass.limit {
                self.dirty = true;
                return;
            }
        }
    }

    fn pass_class(&mut self, now: Time, class: Class, pass: &mut Pass, out: &mut Vec<Decision>) {
        let teams = self.queues.teams(class);
        let mut turns: BTreeSet<Turn> = teams
            .map(|team| (self.teams.share(team), team, 0, 0))
            .collect();
        while let Some((_, team, from, passed_over)) = turns.pop_first() {
            if out.len() >= pass.limit {
                return;
            }
            let Some((seq, unit, passed_over)) = self.next_unit(class, team, from, passed_over)
            else {
                continue;
            };
            let turn = if self.start_next(now, unit, pass, out) {
                (self.teams.share(team), team, seq, passed_over)
            } else {
                (self.teams.share(team), team, seq + 1, passed_over + 1)
            };
            turns.insert(turn);
        }
    }

    /// The next unit of a line for which there may be room, and how many were passed over before it.
    fn next_unit(
        &self,
        class: Class,
        team: TeamIx,
        from: u64,
        mut passed_over: usize,
    ) -> Option<(u64, UnitIx, usize)> {
        let no_room = &self.no_room[&class];
        // Interactive work is looked at in any case: it may preempt.
        let hopeless = |queued: &Queued| {
            class != Class::Interactive && no_room.covers(queued.need, queued.size)
        };
        for (seq, unit, queued) in self.queues.line(class, team, from) {
            if passed_over > self.cfg.scan_depth {
                return None;
            }
            if !hopeless(queued) {
                return Some((seq, unit, passed_over));
            }
            passed_over += 1;
        }
        None
    }

    /// Starts the next task of a unit, or all tasks of a gang, and returns whether it did.
    fn start_next(
        &mut self,
        now: Time,
        unit: UnitIx,
        pass: &mut Pass,
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
        let size = self.size_of(unit);
        if !self.quota_allows(unit, size) {
            return false;
        }
        let (need, class) = (entry.need(), entry.class());
        if !self.no_room[&class].covers(need, size) {
            if let Some((slot, revocable)) = self.find(now, unit, index, size) {
                self.put(now, (unit, index), slot, size, revocable);
                self.announce((unit, index), out);
                return true;
            }
            if !self.avoids(entry, index) {
                self.no_room.entry(class).or_default().add(need, size);
            }
        }
        class == Class::Interactive && self.preempt(now, (unit, index), size, pass, out)
    }

    fn preempt(
        &mut self,
        now: Time,
        key: TaskKey,
        size: Size,
        pass: &mut Pass,
        out: &mut Vec<Decision>,
    ) -> bool {
        let exhausted = pass.preemptions >= PREEMPTIONS_PER_PASS;
        if !self.cfg.is_preemption_enabled
            || exhausted
            || pass.not_preemptible.covers(Need::Firm, size)
        {
            return false;
        }
        if let Some(slot) = self.take_from_bulk(size) {
            self.put(now, key, slot, size, false);
            self.announce(key, out);
            return true;
        }
        if self.keep_by_preemption(now, key, size, out) {
            pass.preemptions += 1;
            return true;
        }
        pass.not_preemptible.add(Need::Firm, size);
        false
    }

    /// Reserves room for all tasks of a gang, then starts them; or holds nothing.
    fn start_gang(&mut self, now: Time, unit: UnitIx, out: &mut Vec<Decision>) -> bool {
        let size = self.size_of(unit);
        let at_once = self.at_once(unit);
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        if now < entry.retry_at {
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
            return false;
        }
        let hopeless = !self.quota_allows(unit, at_once)
            || !at_once.fits(&self.workers.free())
            || self.no_room[&entry.class()].covers(entry.need(), size);
        if hopeless {
            return false;
        }
        let since = entry.since;
        let indexes: Vec<u32> = entry.waiting.iter().copied().collect();
        let mut reserved = Vec::with_capacity(indexes.len());
        for index in indexes {
            let Some((slot, _)) = self.find(now, unit, index, size) else {
                break;
            };
            self.put(now, (unit, index), slot, size, false);
            reserved.push((unit, index));
        }
        if self.units.get(unit).is_some_and(|e| e.waiting.is_empty()) {
            for key in reserved {
                self.announce(key, out);
            }
            return true;
        }
        for key in reserved {
            self.unput(key);
        }
        if let Some(entry) = self.units.get_mut(unit) {
            // A try that found too little room is no progress.
            entry.since = since;
            entry.retry_at = now + GANG_RETRY;
            self.retry_gangs_at = self.retry_gangs_at.min(entry.retry_at);
        }
        false
    }

    /// Whether the task is kept off workers on which it failed.
    fn avoids(&self, entry: &Entry, index: u32) -> bool {
        let failed_on = entry.tasks.get(&index).map_or(0, |t| t.failed_on.len());
        failed_on > 0 && failed_on * 2 < self.workers.open_count() as usize
    }

    /// A worker with room for a task, and whether that room is kept for another unit.
    fn find(&self, now: Time, unit: UnitIx, index: u32, size: Size) -> Option<(Slot, bool)> {
        let entry = self.units.get(unit)?;
        if let Some(slot) = self.find_probe(entry, size) {
            return Some((slot, false));
        }
        if let Some(slot) = self.find_free((unit, index), entry, size) {
            return Some((slot, false));
        }
        let may_backfill = entry.may_interrupt() && self.cfg.backfill == Backfill::Revocable;
        let may_backfill = may_backfill && entry.preemptible(index, self.cfg.max_preemptions);
        if !may_backfill || self.avoids(entry, index) {
            return None;
        }
        let until = now + self.run_time_of(entry);
        Some((self.backfill_slot(until, size)?, true))
    }

    /// A worker that is probed after its quarantine.
    fn find_probe(&self, entry: &Entry, size: Size) -> Option<Slot> {
        if !entry.may_interrupt() {
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
            Some(task) if self.avoids(entry, index) => task.failed_on.as_slice(),
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
        let urgent = entry.class() == Class::Interactive;
        let plain = workers.plain().best(size, score);
        let service = entry.is_service();
        let beside = || {
            // Bulk work makes way as soon as the accelerators are asked for.
            let index = if entry.class() == Class::Bulk && entry.may_interrupt() {
                workers.accelerated()
            } else {
                workers.accelerated_plain()
            };
            (!service).then(|| index.best(size, score))?
        };
        let reserve = || urgent.then(|| workers.urgent().best(size, score))?;
        let scarce = || {
            let needed = !self.plain_holds(size, urgent);
            needed.then(|| workers.accelerated().best(size, score))?
        };
        plain.or_else(beside).or_else(reserve).or_else(scarce)
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
        let alone = |slot: Slot| !self.workers.get(slot).runs_any_of(unit);
        (fewest..=fewest + 1).find_map(|most| {
            let spread = |slot, room| {
                let apart = in_rack(slot) <= most && alone(slot);
                apart.then(|| score(slot, room))?
            };
            self.workers.plain().best(size, spread)
        })
    }
}

//! Units that have waited too long: which ones room is kept for, and where.

use std::{collections::BTreeMap, time::Duration};

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    failed::Failed,
    fit::Slot,
    kept::{Asked, Group, KeptTask, WORKERS_LOOKED_AT},
    teams::{Claim, TeamIx},
    units::{Hold, UnitIx},
};

/// Workers whose drain time is weighed per task.
const DRAINS_WEIGHED: usize = 16;

/// How long a unit for which no room could be kept waits before that is tried again.
const KEEP_RETRY: Duration = Duration::from_secs(1);

/// How often units that wait too long are looked for.
const PATIENCE_INTERVAL: Duration = Duration::from_millis(200);

/// Units at the head of each line that are looked at for their waiting time.
const HEADS_LOOKED_AT: usize = 4;

impl Placer {
    /// Keeps room for the units that have waited too long, the longest wait first.
    pub(crate) fn keep_for_patient(&mut self, now: Time, out: &mut Vec<Decision>) {
        if now < self.next_patience {
            return;
        }
        self.next_patience = now + PATIENCE_INTERVAL;
        self.teams.drop_claims();
        if self.queues.is_empty() {
            return;
        }
        let mut overdue = Vec::new();
        for class in Class::URGENT_FIRST {
            let teams: Vec<TeamIx> = self.queues.teams(class).collect();
            for team in teams {
                self.overdue(now, class, team, &mut overdue, out);
            }
        }
        overdue.sort_unstable();
        self.keep_units(now, &overdue, true);
        self.keep_units(now, &overdue, false);
    }

    fn keep_units(&mut self, now: Time, overdue: &[(Time, u64, UnitIx)], bulk: bool) {
        let max = if bulk {
            self.cfg.max_bulk_reservations
        } else {
            self.cfg.max_urgent_reservations
        };
        let room = max.saturating_sub(self.kept.patient(bulk));
        let of_class = |unit: &UnitIx| {
            let entry = self.units.get(*unit);
            entry.is_some_and(|e| (e.class() == Class::Bulk) == bulk)
        };
        let units = overdue.iter().map(|(.., unit)| *unit);
        let units: Vec<UnitIx> = units.filter(of_class).take(room).collect();
        for unit in units {
            // Those before it may have used up its team's quota.
            if !self.quota_allows(unit, self.at_once(unit)) {
                continue;
            }
            if !self.keep_unit(now, unit)
                && let Some(entry) = self.units.get_mut(unit)
            {
                entry.keep_at = now + KEEP_RETRY;
            }
        }
    }

    /// Whether the unit's team may hold `size` more for it.
    pub(crate) fn quota_allows(&self, unit: UnitIx, size: Size) -> bool {
        let entry = self.units.get(unit);
        entry.is_some_and(|e| self.teams.allows_unit(e.team, unit, e.class(), size))
    }

    /// Adds the first overdue unit of a line. Where the quota is used up, the next part of it that
    /// becomes free is kept for the first such unit, so that smaller ones do not take it each time.
    fn overdue(
        &mut self,
        now: Time,
        class: Class,
        team: TeamIx,
        overdue: &mut Vec<(Time, u64, UnitIx)>,
        out: &mut Vec<Decision>,
    ) {
        let heads = self.queues.line(class, team, 0).take(HEADS_LOOKED_AT);
        let heads: Vec<(u64, UnitIx)> = heads.map(|(seq, unit, _)| (seq, unit)).collect();
        for (seq, unit) in heads {
            let Some(entry) = self.units.get(unit) else {
                continue;
            };
            let at_once = self.at_once(unit);
            let due = entry.since + self.cfg.patience(class);
            if now < due {
                continue;
            }
            let keep_at = entry.keep_at;
            if !self.teams.allows(team, at_once) {
                let size = at_once;
                self.teams.claim(team, Claim { unit, class, size });
                self.press_quota(team, class, size, out);
            } else if now >= keep_at && self.quota_allows(unit, at_once) {
                overdue.push((due, seq, unit));
                return;
            }
        }
    }

    /// What the unit's next start takes from its team's quota.
    pub(crate) fn at_once(&self, unit: UnitIx) -> Size {
        let size = self.size_of(unit);
        match self.units.get(unit) {
            Some(entry) if entry.is_gang() => {
                size.saturating_mul(u32::try_from(entry.waiting.len()).unwrap_or(u32::MAX))
            }
            _ => size,
        }
    }

    fn keep_unit(&mut self, now: Time, unit: UnitIx) -> bool {
        let size = self.size_of(unit);
        let Some(entry) = self.units.get(unit) else {
            return false;
        };
        let class = entry.class();
        let together = if entry.is_gang() { usize::MAX } else { 1 };
        let indexes: Vec<u32> = entry.waiting.iter().copied().take(together).collect();
        let mut group = Group {
            unit,
            class,
            tasks: Vec::with_capacity(indexes.len()),
            rooms: BTreeMap::new(),
            shadow: now,
            asked: Asked::default(),
            urgent: false,
        };
        for index in indexes {
            let Some((shadow, slot)) = self.soonest(now, class, size) else {
                for task in group.tasks {
                    self.unkeep(unit, task);
                }
                return false;
            };
            let task = KeptTask { index, slot, size };
            self.keep(unit, task);
            group.tasks.push(task);
            *group.rooms.entry(slot).or_default() += size;
            group.shadow = group.shadow.max(shadow);
        }
        if class > Class::Bulk && self.cfg.is_preemption_enabled {
            group.shadow = group.shadow.min(now + self.cfg.preempt_after);
        }
        self.kept.push(group);
        self.no_room.values_mut().for_each(Failed::more_kept);
        true
    }

    /// The worker, among a few with much room, that is the first to have room for `size`.
    fn soonest(&self, now: Time, class: Class, size: Size) -> Option<(Time, Slot)> {
        let index = if size.accelerators > 0 {
            self.workers.accelerated()
        } else {
            self.workers.plain()
        };
        let looked_at = index.roomiest().take(WORKERS_LOOKED_AT);
        let drains = looked_at.filter_map(|slot| Some((self.drained(now, slot, size)?, slot)));
        let best = drains.take(DRAINS_WEIGHED).min();
        best.or_else(|| {
            let urgent = class == Class::Interactive;
            let score = |slot, _| {
                let usable = urgent || !self.workers.get(slot).reserve;
                usable.then(|| self.drained(now, slot, size))?
            };
            let slot = self.workers.by_eventual().best(size, score)?;
            Some((self.drained(now, slot, size)?, slot))
        })
    }

    /// When enough tasks on a worker will have ended for `size`; `None` if never.
    fn drained(&self, now: Time, slot: Slot, size: Size) -> Option<Time> {
        let worker = self.workers.get(slot);
        let mut used = worker.used;
        let fits = |used: Size| (used + worker.held + size).fits(&worker.spec.size);
        if fits(used) {
            return Some(now);
        }
        let placed = worker
            .tasks
            .iter()
            .filter_map(|key| self.units.placed(*key));
        let mut ends: Vec<(Time, Size)> = placed
            .filter(|placed| placed.hold != Hold::Lasting)
            .map(|placed| (expected_end(now, placed.since, placed.ends), placed.size))
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        ends.into_iter().find_map(|(end, size)| {
            used -= size;
            fits(used).then_some(end)
        })
    }
}

/// When a task will end; one that runs longer than expected goes on for half of its time again.
fn expected_end(now: Time, since: Time, ends: Time) -> Time {
    if now < ends {
        ends
    } else {
        now + now.since(since) / 2
    }
}

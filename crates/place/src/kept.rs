//! Room that is kept for units until all of it is free.
//!
//! A group holds room for all tasks that a unit is to start together: those of a gang, or a single
//! one. The room is on workers whose other tasks end by themselves or are interrupted, and no two
//! groups hold the same room. So each group is satisfied in the end, whatever the others wait for.

use std::collections::BTreeMap;

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    failed::Failed,
    fit::Slot,
    teams::{Claim, TeamIx},
    units::{Hold, TaskKey, UnitIx},
};

/// Workers whose drain time is weighed per task.
const DRAINS_WEIGHED: usize = 16;

/// Workers that are looked at per task before other ways are tried.
const WORKERS_LOOKED_AT: usize = 48;

/// How long a unit for which no room could be kept waits before that is tried again.
const KEEP_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

/// How often units that wait too long are looked for.
pub(crate) const PATIENCE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);

/// Units at the head of each line that are looked at for their waiting time.
const HEADS_LOOKED_AT: usize = 4;

/// Room for one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeptTask {
    pub(crate) index: u32,
    pub(crate) slot: Slot,
    pub(crate) size: Size,
}

/// Tasks that were told to end, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asked {
    pub(crate) victims: Vec<TaskKey>,
    pub(crate) at: Option<Time>,
}

/// Room for all tasks that a unit starts together.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) unit: UnitIx,
    pub(crate) class: Class,
    pub(crate) tasks: Vec<KeptTask>,
    /// The kept room by worker.
    pub(crate) rooms: BTreeMap<Slot, Size>,
    /// When the room is expected to be free.
    pub(crate) shadow: Time,
    pub(crate) asked: Asked,
    /// It was made by preemption.
    pub(crate) urgent: bool,
}

/// All groups, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Kept {
    pub(crate) groups: BTreeMap<u64, Group>,
    next: u64,
}

impl Kept {
    pub(crate) fn push(&mut self, group: Group) {
        self.groups.insert(self.next, group);
        self.next += 1;
    }

    /// How many units have waited for their kept room, of the bulk class or of the others.
    fn patient(&self, bulk: bool) -> usize {
        let groups = self.groups.values();
        groups
            .filter(|group| !group.urgent && (group.class == Class::Bulk) == bulk)
            .count()
    }
}

impl Placer {
    /// Holds room for tasks that wait. Their team's quota counts it from now on.
    pub(crate) fn keep(&mut self, unit: UnitIx, task: KeptTask) {
        self.workers.hold(task.slot, task.size, &self.cfg);
        if let Some(entry) = self.units.get_mut(unit) {
            self.teams.add(entry.team, task.size);
            entry.waiting.remove(&task.index);
            entry.tasks.entry(task.index).or_default().kept = true;
        }
        self.file(unit);
    }

    /// Gives held room back. The task waits again.
    pub(crate) fn unkeep(&mut self, unit: UnitIx, task: KeptTask) {
        self.workers.unhold(task.slot, task.size, &self.cfg);
        if let Some(entry) = self.units.get_mut(unit) {
            self.teams.sub(entry.team, task.size);
            entry.waiting.insert(task.index);
            entry.tasks.entry(task.index).or_default().kept = false;
        }
        self.file(unit);
        self.dirty = true;
    }

    pub(crate) fn drop_groups(&mut self, which: impl Fn(&Group) -> bool) {
        let groups = self.kept.groups.iter();
        let ids: Vec<u64> = groups
            .filter(|(_, group)| which(group))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.drop_group(id);
        }
    }

    fn drop_group(&mut self, id: u64) {
        let Some(group) = self.kept.groups.remove(&id) else {
            return;
        };
        for task in group.tasks {
            self.unkeep(group.unit, task);
        }
    }

    /// Starts the groups whose room is free, and sees to those whose room should be.
    pub(crate) fn settle_groups(&mut self, now: Time, out: &mut Vec<Decision>) {
        let ids: Vec<u64> = self.kept.groups.keys().copied().collect();
        for id in ids {
            if self.group_is_free(id) {
                self.start_group(now, id, out);
            } else {
                self.press(now, id, out);
            }
        }
    }

    /// Whether the room of a group is free beside that of the older groups. Without regard to these,
    /// a row of younger groups could use up room for which an older one waits.
    fn group_is_free(&self, id: u64) -> bool {
        let rooms = &self.kept.groups[&id].rooms;
        rooms.iter().all(|(slot, size)| {
            let older = self.kept.groups.range(..id);
            let held = older.filter_map(|(_, group)| group.rooms.get(slot));
            let held = held.fold(Size::ZERO, |sum, size| sum + *size);
            let worker = self.workers.get(*slot);
            worker.fits_beside_running(*size + held)
        })
    }

    fn start_group(&mut self, now: Time, id: u64, out: &mut Vec<Decision>) {
        let Some(group) = self.kept.groups.remove(&id) else {
            return;
        };
        for task in group.tasks {
            self.unkeep(group.unit, task);
            let key = (group.unit, task.index);
            self.put(now, key, task.slot, task.size, false);
            self.announce(key, out);
        }
    }

    /// Interrupts what stands in the way of a group that should have started.
    fn press(&mut self, now: Time, id: u64, out: &mut Vec<Decision>) {
        let group = &self.kept.groups[&id];
        if now < group.shadow && group.asked.at.is_none() {
            return;
        }
        let mut asked = group.asked.clone();
        let class = group.class;
        if asked.at.is_none() {
            let slots: Vec<Slot> = group.rooms.keys().copied().collect();
            for slot in slots {
                asked.victims.extend(self.in_the_way(now, slot, class));
            }
            if asked.victims.is_empty() {
                return;
            }
            for victim in &asked.victims {
                self.interrupt(*victim, out);
            }
            asked.at = Some(now);
        } else {
            self.insist(now, &mut asked, out);
        }
        if let Some(group) = self.kept.groups.get_mut(&id) {
            group.asked = asked;
        }
    }

    /// Stops the tasks that should have ended by now.
    pub(crate) fn insist(&mut self, now: Time, asked: &mut Asked, out: &mut Vec<Decision>) {
        let Some(at) = asked.at else {
            return;
        };
        if now < at + self.cfg.checkpoint_timeout {
            return;
        }
        asked
            .victims
            .retain(|victim| self.units.placed(*victim).is_some_and(|p| p.ending));
        for victim in &asked.victims {
            self.announce_stop(*victim, out);
        }
        asked.at = (!asked.victims.is_empty()).then_some(now);
    }

    /// Tasks on a worker that must make way for a unit of `class` whose room is overdue: as few as
    /// will do, or all that may if they are not enough.
    fn in_the_way(&self, now: Time, slot: Slot, class: Class) -> Vec<TaskKey> {
        let held = Size::ZERO;
        if let Some((_, victims)) = self.victims(now, slot, held, class) {
            return victims;
        }
        let tasks = self.workers.get(slot).tasks.iter();
        tasks
            .filter(|key| self.may_preempt(class, **key))
            .copied()
            .collect()
    }

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
            self.cfg.kept_bulk_max
        } else {
            self.cfg.kept_urgent_max
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
                size.times(u32::try_from(entry.waiting.len()).unwrap_or(u32::MAX))
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
        if class > Class::Bulk && self.cfg.preempts {
            group.shadow = group.shadow.min(now + self.cfg.press_after);
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

    /// A worker with kept room that a short task may use in the meantime.
    pub(crate) fn backfill_slot(&self, until: Time, size: Size) -> Option<Slot> {
        let groups = self.kept.groups.values();
        let rooms = groups
            .filter(|group| group.asked.at.is_none() && until <= group.shadow)
            .flat_map(|group| group.rooms.keys().copied());
        rooms.take(WORKERS_LOOKED_AT).find(|slot| {
            let worker = self.workers.get(*slot);
            let scarce = worker.spec.size.accelerators > 0 && size.accelerators == 0;
            !scarce && worker.fits_beside_running(size) && self.first_shadow(*slot) >= until
        })
    }

    fn first_shadow(&self, slot: Slot) -> Time {
        let groups = self.kept.groups.values();
        let shadows = groups.filter(|group| group.rooms.contains_key(&slot));
        shadows.map(|group| group.shadow).min().unwrap_or(Time::MAX)
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

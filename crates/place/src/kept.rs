//! Room that is kept for units until all of it is free.
//!
//! A group holds room for all tasks that a unit is to start together: those of a gang, or a single
//! one. The room is on workers whose other tasks end by themselves or are interrupted, and no two
//! groups hold the same room. So each group is satisfied in the end, whatever the others wait for.

use std::collections::BTreeMap;

use model::{Class, Size, Time};

use crate::{
    Decision, Placer,
    fit::Slot,
    units::{TaskKey, UnitIx},
};

/// Workers that are looked at per task before other ways are tried.
pub(crate) const WORKERS_LOOKED_AT: usize = 48;

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
    pub(crate) fn patient(&self, bulk: bool) -> usize {
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

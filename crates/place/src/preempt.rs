//! Making room by interrupting running tasks: which ones lose least, and how they are told.

use std::collections::BTreeMap;

use model::{Class, Repeat, Size, Time};

use crate::{
    Decision, Placer,
    fit::Slot,
    kept::{Asked, Group, KeptTask},
    teams::TeamIx,
    units::{Entry, Hold, Placed, TaskKey},
};

/// Workers whose loss is worked out per preemption.
const LOSSES_WEIGHED: u32 = 24;

/// What any interruption costs, in milliseconds of the task's run.
const INTERRUPTION_MS: u64 = 5_000;

/// How much dearer an interrupted standard task is than a bulk one.
const STANDARD_FACTOR: u64 = 4;

/// Loss of a worker whose victims are not worked out.
const LOSS_UNKNOWN: u64 = u64::MAX;

impl Placer {
    /// Gives up room that is kept for bulk units, but free already, for an urgent task. These units go
    /// on waiting, and room is kept for them elsewhere.
    pub(crate) fn take_from_bulk(&mut self, size: Size) -> Option<Slot> {
        let mut bulk: BTreeMap<Slot, Size> = BTreeMap::new();
        for group in self.kept.groups.values().filter(|g| g.class == Class::Bulk) {
            for (slot, room) in &group.rooms {
                *bulk.entry(*slot).or_default() += *room;
            }
        }
        let (slot, _) = bulk.into_iter().find(|(slot, room)| {
            let worker = self.workers.get(*slot);
            let others = worker.held - *room;
            let scarce = worker.spec.size.accelerators > 0 && size.accelerators == 0;
            !scarce && worker.fits_beside_running(size + others)
        })?;
        self.drop_groups(|group| group.class == Class::Bulk && group.rooms.contains_key(&slot));
        Some(slot)
    }

    /// Keeps room for an urgent task where the least is lost, and interrupts what runs there.
    pub(crate) fn keep_by_preemption(
        &mut self,
        now: Time,
        key: TaskKey,
        size: Size,
        out: &mut Vec<Decision>,
    ) -> bool {
        let mut weighed = 0;
        let index = self.workers.by_shrinkable();
        let best = index.best(size, |slot, _| {
            weighed += 1;
            if weighed > LOSSES_WEIGHED {
                return Some(LOSS_UNKNOWN);
            }
            self.victims(now, slot, size, Class::Interactive)
                .map(|(loss, _)| loss)
        });
        let Some(slot) = best else {
            return false;
        };
        let Some((_, victims)) = self.victims(now, slot, size, Class::Interactive) else {
            return false;
        };
        for victim in &victims {
            self.interrupt(*victim, out);
        }
        let (unit, index) = key;
        let task = KeptTask { index, slot, size };
        self.keep(unit, task);
        self.kept.push(Group {
            unit,
            class: Class::Interactive,
            tasks: vec![task],
            rooms: BTreeMap::from([(slot, size)]),
            shadow: now,
            asked: Asked {
                victims,
                at: Some(now),
            },
            urgent: true,
        });
        true
    }

    /// Whether a running task may be interrupted for a unit of `class`.
    pub(crate) fn may_preempt(&self, class: Class, key: TaskKey) -> bool {
        let placed = self.units.placed(key);
        let lower = self.units.get(key.0).is_some_and(|e| e.class() < class);
        placed.is_some_and(|placed| {
            let may = placed.hold == Hold::Revocable || (placed.hold.is_preemptible() && lower);
            may && !placed.ending
        })
    }

    /// The tasks to interrupt on a worker so that `size` fits there beside what is kept, and what
    /// that loses.
    pub(crate) fn victims(
        &self,
        now: Time,
        slot: Slot,
        size: Size,
        class: Class,
    ) -> Option<(u64, Vec<TaskKey>)> {
        let worker = self.workers.get(slot);
        let taken = worker.used + worker.held + size;
        let mut excess = taken - worker.spec.size;
        let mut candidates = Vec::new();
        for key in &worker.tasks {
            match self.units.placed(*key) {
                Some(placed) if placed.ending => excess -= placed.size,
                Some(placed) if self.may_preempt(class, *key) => {
                    candidates.push((self.loss(now, *key, placed), *key, placed.size));
                }
                _ => {}
            }
        }
        candidates.sort_unstable_by_key(|(loss, key, _)| (*loss, *key));
        let mut chosen = Vec::new();
        for (loss, key, size) in candidates {
            if excess == Size::ZERO {
                break;
            }
            if helps(size, excess) {
                excess -= size;
                chosen.push((loss, key, size));
            }
        }
        if excess != Size::ZERO {
            return None;
        }
        self.spare_superfluous(slot, size, &mut chosen);
        let loss = chosen.iter().map(|(loss, ..)| *loss).sum();
        Some((loss, chosen.into_iter().map(|(_, key, _)| key).collect()))
    }

    /// Takes out victims, the dearest first, that later ones made superfluous.
    fn spare_superfluous(&self, slot: Slot, size: Size, chosen: &mut Vec<(u64, TaskKey, Size)>) {
        let worker = self.workers.get(slot);
        let ending = worker
            .tasks
            .iter()
            .filter_map(|key| self.units.placed(*key));
        let ending = ending.filter(|placed| placed.ending);
        let freed = ending.fold(Size::ZERO, |sum, placed| sum + placed.size);
        let taken = worker.used - freed + worker.held + size;
        for i in (0..chosen.len()).rev() {
            let others = chosen.iter().enumerate().filter(|(j, _)| *j != i);
            let others = others.fold(Size::ZERO, |sum, (_, (.., size))| sum + *size);
            if (taken - others).fits(&worker.spec.size) {
                chosen.remove(i);
            }
        }
    }

    /// Interrupts a team's own less urgent tasks so that its quota allows `size` more.
    pub(crate) fn press_quota(
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
        for key in self.teams.interruptible(team) {
            match self.units.placed(key) {
                Some(placed) if placed.ending => excess -= placed.size,
                Some(placed) if placed.class < class => candidates.push((key, placed.size)),
                _ => {}
            }
        }
        for (key, size) in candidates {
            if excess == Size::ZERO {
                return;
            }
            if helps(size, excess) {
                excess -= size;
                self.interrupt(key, out);
            }
        }
    }

    /// What is lost if a task is interrupted: its run so far, weighed by its processors.
    fn loss(&self, now: Time, key: TaskKey, placed: &Placed) -> u64 {
        let entry = self.units.get(key.0);
        let ran = u64::try_from(now.since(placed.since).as_millis()).unwrap_or(u64::MAX);
        let preempted = entry
            .and_then(|e| e.tasks.get(&key.1))
            .map_or(0, |task| u64::from(task.preempted));
        let weight = placed.size.milli_processors / 100 + 1;
        let loss = (ran + INTERRUPTION_MS) * weight * (1 + preempted);
        match entry.map(Entry::class) {
            Some(Class::Bulk) => loss,
            _ => loss * STANDARD_FACTOR,
        }
    }

    /// Tells a task to save its progress and end, or to stop if it can't be resumed.
    pub(crate) fn interrupt(&mut self, key: TaskKey, out: &mut Vec<Decision>) {
        let Some(placed) = self.units.placed_mut(key) else {
            return;
        };
        if placed.ending {
            return;
        }
        placed.ending = true;
        let slot = placed.slot;
        let Some(entry) = self.units.get(key.0) else {
            return;
        };
        if entry.unit.repeat == Repeat::Never {
            self.announce_stop(key, out);
            return;
        }
        out.push(Decision::Checkpoint {
            task: entry.task_id(key.1),
            worker: self.workers.get(slot).spec.id,
        });
    }
}

/// Whether `size` lessens the excess in a dimension where there is one.
const fn helps(size: Size, excess: Size) -> bool {
    (excess.milli_processors > 0 && size.milli_processors > 0)
        || (excess.memory_mb > 0 && size.memory_mb > 0)
        || (excess.accelerators > 0 && size.accelerators > 0)
}

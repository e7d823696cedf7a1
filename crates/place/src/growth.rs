//! Tasks that use more than is reserved for them.
//!
//! A task grows where there is room. Else its processors are limited to its reservation, and for
//! memory, which can't be limited, the lowest class on the worker makes way.

use model::{Size, TaskId, Time, Usage};

use crate::{
    Decision, Placer,
    fit::Slot,
    kept::Asked,
    units::{Placed, TaskKey},
};

/// Room that is kept for a task's growth until others have ended.
#[derive(Clone, Debug)]
pub(crate) struct Growth {
    key: TaskKey,
    slot: Slot,
    team: usize,
    need: Size,
    asked: Asked,
}

impl Placer {
    /// Takes what a task was seen to use. What follows from it comes with the next
    /// [`Self::decide`].
    pub fn report_usage(&mut self, now: Time, task: &TaskId, usage: Usage) {
        let Some(unit) = self.units.find(&task.unit) else {
            return;
        };
        if let Some(entry) = self.units.get(unit) {
            self.learning.of_mut(entry.name).used(usage);
        }
        let key = (unit, task.index);
        let Some(placed) = self.units.placed(key).copied() else {
            return;
        };
        if placed.ending || placed.growing {
            return;
        }
        let more = Size::new(usage.milli_processors, usage.memory_mb, 0) - placed.size;
        self.grow_processors(key, &placed, more.milli_processors);
        if let Some(placed) = self.units.placed(key).copied() {
            self.grow_memory(now, key, &placed, more.memory_mb);
        }
    }

    /// Takes what a worker says that it holds for a task. An earlier scheduler may have reserved more
    /// than the unit declares, since it had learned the task's true size; that room is in use whether it
    /// was free here or not.
    pub fn raise_allocation(&mut self, task: &TaskId, size: Size) {
        let Some(unit) = self.units.find(&task.unit) else {
            return;
        };
        let key = (unit, task.index);
        let Some(placed) = self.units.placed(key) else {
            return;
        };
        let more = size.max(placed.size) - placed.size;
        if more != Size::ZERO {
            self.grow(key, more);
        }
    }

    fn has_room(&self, placed: &Placed, need: Size) -> bool {
        let free = self.workers.get(placed.slot).free();
        need.fits(&free) && self.teams.allows(placed.team, need)
    }

    fn grow_processors(&mut self, key: TaskKey, placed: &Placed, more: u64) {
        let need = Size::new(more, 0, 0);
        if more == 0 {
            return;
        }
        if self.has_room(placed, need) {
            self.grow(key, need);
            return;
        }
        if placed.throttled {
            return;
        }
        if let Some(placed) = self.units.placed_mut(key) {
            placed.throttled = true;
        }
        if let Some(entry) = self.units.get(key.0) {
            self.pending.push(Decision::Throttle {
                task: entry.task_id(key.1),
                worker: self.workers.get(placed.slot).spec.id,
                milli_processors: placed.size.milli_processors,
            });
        }
    }

    fn grow_memory(&mut self, now: Time, key: TaskKey, placed: &Placed, more: u64) {
        let need = Size::new(0, more, 0);
        if more == 0 {
            return;
        }
        if self.has_room(placed, need) {
            self.grow(key, need);
            return;
        }
        let mut out = std::mem::take(&mut self.pending);
        let victims = self.lowest(key, placed.slot, need);
        if !self.teams.allows(placed.team, need) || victims.is_empty() || victims.contains(&key) {
            self.interrupt(key, &mut out);
        } else {
            for victim in &victims {
                self.interrupt(*victim, &mut out);
            }
            self.keep_growth(
                key,
                placed,
                need,
                Asked {
                    victims,
                    at: Some(now),
                },
            );
        }
        self.pending = out;
    }

    /// The tasks of the lowest class on a worker whose end makes `need` fit; may name the growing
    /// one itself. None if even that is not enough.
    fn lowest(&self, growing: TaskKey, slot: Slot, need: Size) -> Vec<TaskKey> {
        let worker = self.workers.get(slot);
        let mut excess = worker.used + worker.held + need - worker.spec.size;
        let mut candidates = Vec::new();
        for key in &worker.tasks {
            let (Some(entry), Some(placed)) = (self.units.get(key.0), self.units.placed(*key))
            else {
                continue;
            };
            if placed.ending {
                excess -= placed.size;
                continue;
            }
            let rank = (
                entry.class(),
                !entry.may_interrupt(),
                *key != growing,
                std::cmp::Reverse(placed.since),
            );
            candidates.push((rank, *key, placed.size));
        }
        candidates.sort_unstable_by_key(|(rank, key, _)| (*rank, *key));
        let mut victims = Vec::new();
        for (_, key, size) in candidates {
            if excess == Size::ZERO || victims.contains(&growing) {
                break;
            }
            excess -= size;
            victims.push(key);
        }
        if victims.contains(&growing) {
            return vec![growing];
        }
        victims
    }

    fn keep_growth(&mut self, key: TaskKey, placed: &Placed, need: Size, asked: Asked) {
        self.workers.hold(placed.slot, need, &self.cfg);
        self.teams.add(placed.team, need);
        if let Some(placed) = self.units.placed_mut(key) {
            placed.growing = true;
        }
        self.growths.push(Growth {
            key,
            slot: placed.slot,
            team: placed.team,
            need,
            asked,
        });
    }

    /// Raises a task's reservation.
    fn grow(&mut self, key: TaskKey, need: Size) {
        let Some(placed) = self.units.placed(key).copied() else {
            return;
        };
        let grown = Placed {
            size: placed.size + need,
            growing: false,
            ..placed
        };
        self.workers.release(key, &placed, &self.cfg);
        self.workers.reserve(key, &grown, &self.cfg);
        self.teams.add(placed.team, need);
        if let Some(placed) = self.units.placed_mut(key) {
            *placed = grown;
        }
    }

    /// Lets tasks grow whose room has become free, and gives back room of those that ended.
    pub(crate) fn settle_growths(&mut self, now: Time, out: &mut Vec<Decision>) {
        for mut growth in std::mem::take(&mut self.growths) {
            let placed = self.units.placed(growth.key);
            let waits = placed.is_some_and(|p| p.growing && p.slot == growth.slot);
            let worker = self.workers.get(growth.slot);
            if waits && !worker.fits_beside_running(growth.need) {
                self.insist(now, &mut growth.asked, out);
                self.growths.push(growth);
                continue;
            }
            self.workers.unhold(growth.slot, growth.need, &self.cfg);
            self.teams.sub(growth.team, growth.need);
            if waits {
                self.grow(growth.key, growth.need);
            }
            self.dirty = true;
        }
    }

    /// When the next growth is looked at at the latest.
    pub(crate) fn growth_deadline(&self) -> Option<Time> {
        let asked = self.growths.iter().filter_map(|growth| growth.asked.at);
        asked.min().map(|at| at + self.cfg.checkpoint_timeout)
    }
}

//! Growth of tasks that use more than their allocation.
//!
//! The allocation of a task is raised if its worker and its team's quota have room. If not, the
//! task's processors are limited to its allocation. Memory cannot be limited, so tasks of the
//! lowest class on the worker, or the growing task itself, are interrupted.

use model::{Size, TaskId, Time, Usage};

use crate::{
    Decision, Placer,
    fit::Slot,
    reservations::Preemption,
    units::{Allocation, TaskKey},
};

/// Room that is reserved for a task's growth until other tasks have ended.
#[derive(Clone, Debug)]
pub(crate) struct Growth {
    key: TaskKey,
    slot: Slot,
    team: usize,
    need: Size,
    preemption: Preemption,
}

impl Placer {
    /// Records the resources that a task was seen to use. Resulting decisions are returned by the
    /// next [`Self::decide`].
    pub fn report_usage(&mut self, now: Time, task: &TaskId, usage: Usage) {
        let Some(unit) = self.units.find(&task.unit) else {
            return;
        };
        if let Some(entry) = self.units.get(unit) {
            self.histories.get_mut(entry.name_ix).record_usage(usage);
        }
        let key = (unit, task.index);
        let Some(allocation) = self.units.allocation(key).copied() else {
            return;
        };
        if allocation.is_ending || allocation.is_growing {
            return;
        }
        let more = Size::new(usage.milli_processors, usage.memory_mb, 0) - allocation.size;
        self.grow_processors(key, &allocation, more.milli_processors);
        if let Some(allocation) = self.units.allocation(key).copied() {
            self.grow_memory(now, key, &allocation, more.memory_mb);
        }
    }

    /// Raises a task's allocation to what its worker reports. An earlier scheduler process may
    /// have allocated more than the unit declares, because it had observed higher usage. That room is in
    /// use even if it was not free in this placer's bookkeeping.
    pub fn raise_allocation(&mut self, task: &TaskId, size: Size) {
        let Some(unit) = self.units.find(&task.unit) else {
            return;
        };
        let key = (unit, task.index);
        let Some(allocation) = self.units.allocation(key) else {
            return;
        };
        let more = size.max(allocation.size) - allocation.size;
        if more != Size::ZERO {
            self.grow_allocation(key, more);
        }
    }

    fn has_room(&self, allocation: &Allocation, need: Size) -> bool {
        let free = self.workers.get(allocation.slot).free();
        need.fits(&free) && self.teams.allows(allocation.team, need)
    }

    fn grow_processors(&mut self, key: TaskKey, allocation: &Allocation, more: u64) {
        let need = Size::new(more, 0, 0);
        if more == 0 {
            return;
        }
        if self.has_room(allocation, need) {
            self.grow_allocation(key, need);
            return;
        }
        if allocation.is_throttled {
            return;
        }
        if let Some(allocation) = self.units.allocation_mut(key) {
            allocation.is_throttled = true;
        }
        if let Some(entry) = self.units.get(key.0) {
            self.pending_decisions.push(Decision::Throttle {
                task: entry.task_id(key.1),
                worker: self.workers.get(allocation.slot).spec.id,
                milli_processors: allocation.size.milli_processors,
            });
        }
    }

    fn grow_memory(&mut self, now: Time, key: TaskKey, allocation: &Allocation, more: u64) {
        let need = Size::new(0, more, 0);
        if more == 0 {
            return;
        }
        if self.has_room(allocation, need) {
            self.grow_allocation(key, need);
            return;
        }
        let mut out = std::mem::take(&mut self.pending_decisions);
        let victims = self.choose_growth_victims(key, allocation.slot, need);
        if !self.teams.allows(allocation.team, need) || victims.is_empty() || victims.contains(&key)
        {
            self.interrupt(key, &mut out);
        } else {
            for victim in &victims {
                self.interrupt(*victim, &mut out);
            }
            self.reserve_growth(
                key,
                allocation,
                need,
                Preemption {
                    victims,
                    requested_at: Some(now),
                },
            );
        }
        self.pending_decisions = out;
    }

    /// Returns the tasks to interrupt on a worker so that `need` fits, lowest class first. If the
    /// growing task would be among them, only that task is returned. The result is empty if no task
    /// needs to be interrupted beyond those that are already ending.
    fn choose_growth_victims(&self, growing: TaskKey, slot: Slot, need: Size) -> Vec<TaskKey> {
        let worker = self.workers.get(slot);
        let mut excess = worker.used + worker.reserved + need - worker.spec.size;
        let mut candidates = Vec::new();
        for key in &worker.tasks {
            let (Some(entry), Some(allocation)) =
                (self.units.get(key.0), self.units.allocation(*key))
            else {
                continue;
            };
            if allocation.is_ending {
                excess -= allocation.size;
                continue;
            }
            let rank = (
                entry.class(),
                !entry.allows_preemption(),
                *key != growing,
                std::cmp::Reverse(allocation.since),
            );
            candidates.push((rank, *key, allocation.size));
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

    /// Reserves room for a task's growth until the victims have ended.
    fn reserve_growth(
        &mut self,
        key: TaskKey,
        allocation: &Allocation,
        need: Size,
        preemption: Preemption,
    ) {
        self.workers.reserve(allocation.slot, need, &self.cfg);
        self.teams.add_used(allocation.team, need);
        if let Some(allocation) = self.units.allocation_mut(key) {
            allocation.is_growing = true;
        }
        self.growths.push(Growth {
            key,
            slot: allocation.slot,
            team: allocation.team,
            need,
            preemption,
        });
    }

    /// Raises a task's allocation by `need`.
    fn grow_allocation(&mut self, key: TaskKey, need: Size) {
        let Some(allocation) = self.units.allocation(key).copied() else {
            return;
        };
        let grown = Allocation {
            size: allocation.size + need,
            is_growing: false,
            ..allocation
        };
        self.workers.release(key, &allocation, &self.cfg);
        self.workers.allocate(key, &grown, &self.cfg);
        self.teams.add_used(allocation.team, need);
        if let Some(allocation) = self.units.allocation_mut(key) {
            *allocation = grown;
        }
    }

    /// Raises the allocations of tasks whose reserved room has become free, and gives back the room
    /// that was reserved for tasks that have ended.
    pub(crate) fn settle_growths(&mut self, now: Time, out: &mut Vec<Decision>) {
        for mut growth in std::mem::take(&mut self.growths) {
            let allocation = self.units.allocation(growth.key);
            let is_waiting = allocation.is_some_and(|a| a.is_growing && a.slot == growth.slot);
            let worker = self.workers.get(growth.slot);
            if is_waiting && !worker.fits_beside_running(growth.need) {
                self.stop_overdue_victims(now, &mut growth.preemption, out);
                self.growths.push(growth);
                continue;
            }
            self.workers.unreserve(growth.slot, growth.need, &self.cfg);
            self.teams.sub_used(growth.team, growth.need);
            if is_waiting {
                self.grow_allocation(growth.key, growth.need);
            }
            self.needs_pass = true;
        }
    }

    /// Returns when the first checkpoint timeout of a growth's victims ends.
    pub(crate) fn growth_deadline(&self) -> Option<Time> {
        let requested_at = self
            .growths
            .iter()
            .filter_map(|growth| growth.preemption.requested_at);
        requested_at
            .min()
            .map(|at| at + self.cfg.checkpoint_timeout)
    }
}

//! Cancellation of units, and removal of tasks after a unit's number of tasks was lowered.

use model::{Time, UnitId};

use crate::{Decision, Placer, units::UnitIx};

impl Placer {
    /// Cancels a unit: drops its waiting tasks and their reservations, and stops its running tasks.
    /// The first stops are appended to `out`; later calls of [`Self::decide`] return the others at
    /// a bounded rate. A task that is being stopped keeps its allocation until
    /// [`Self::task_ended`].
    pub fn cancel(&mut self, now: Time, id: &UnitId, out: &mut Vec<Decision>) {
        let Some(ix) = self.units.find(id) else {
            return;
        };
        self.drop_waiting(ix);
        if let Some(entry) = self.units.get_mut(ix) {
            entry.is_cancelled = true;
        }
        for index in self.running(ix) {
            self.stops.push((ix, index));
        }
        self.needs_pass = true;
        self.issue_stops(now, out);
    }

    /// Appends the stops that the rate limit allows now.
    pub(crate) fn issue_stops(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(key) = self.stops.pop(now, self.cfg.max_stops_per_s) {
            if let Some(allocation) = self.units.allocation_mut(key) {
                allocation.is_ending = true;
            }
            self.push_stop(key, out);
        }
    }

    /// Removes all waiting tasks of a unit from the queues and cancels their reservations.
    pub(crate) fn drop_waiting(&mut self, ix: UnitIx) {
        self.cancel_reservations(|reservation| reservation.unit == ix);
        let Some(entry) = self.units.get_mut(ix) else {
            return;
        };
        self.queues.remove(ix, entry);
        entry.waiting.clear();
        entry.in_backoff = 0;
        for (index, task) in &mut entry.tasks {
            if let Some(until) = task.backoff_until.take() {
                self.queues.remove_backoff(until, (ix, *index));
            }
        }
    }

    /// Returns the indexes of a unit's tasks that have an allocation.
    pub(crate) fn running(&self, ix: UnitIx) -> Vec<u32> {
        let tasks = self.units.get(ix).into_iter().flat_map(|e| &e.tasks);
        tasks
            .filter(|(_, task)| task.allocation.is_some())
            .map(|(index, _)| *index)
            .collect()
    }

    /// Drops the tasks beyond the unit's current number of tasks. Those that run are queued to be
    /// stopped.
    pub(crate) fn drop_surplus(&mut self, ix: UnitIx) {
        let Some(entry) = self.units.get_mut(ix) else {
            return;
        };
        let surplus = entry.tasks.split_off(&entry.unit.kind.tasks());
        entry.waiting.split_off(&entry.unit.kind.tasks());
        for (index, task) in surplus {
            if let Some(until) = task.backoff_until {
                self.queues.remove_backoff(until, (ix, index));
                entry.in_backoff -= 1;
            }
            if task.allocation.is_some() {
                self.stops.push((ix, index));
                entry.tasks.insert(index, task);
            }
        }
    }
}

//! Dropping work: cancelled units, and tasks beyond a lowered number.

use model::{Time, UnitId};

use crate::{Decision, Placer, units::UnitIx};

impl Placer {
    /// Drops a unit: what waits is forgotten with the room kept for it, what runs is stopped. The
    /// stops beyond a first burst come with later calls of [`Self::decide`], at a bounded rate. A
    /// task that is being stopped holds its room until its end is told.
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

    pub(crate) fn issue_stops(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(key) = self.stops.pop(now, self.cfg.max_stops_per_s) {
            if let Some(allocation) = self.units.allocation_mut(key) {
                allocation.is_ending = true;
            }
            self.push_stop(key, out);
        }
    }

    /// Takes all waiting tasks of a unit out of the queues, with the room kept for them.
    pub(crate) fn drop_waiting(&mut self, ix: UnitIx) {
        self.cancel_reservations(|reservation| reservation.unit == ix);
        let Some(entry) = self.units.get_mut(ix) else {
            return;
        };
        self.queues.remove(ix, entry);
        entry.waiting.clear();
        entry.in_backoff = 0;
        for (index, task) in &mut entry.tasks {
            if let Some(due) = task.backoff_until.take() {
                self.queues.remove_backoff(due, (ix, *index));
            }
        }
    }

    pub(crate) fn running(&self, ix: UnitIx) -> Vec<u32> {
        let tasks = self.units.get(ix).into_iter().flat_map(|e| &e.tasks);
        tasks
            .filter(|(_, task)| task.allocation.is_some())
            .map(|(index, _)| *index)
            .collect()
    }

    /// Drops the tasks beyond the number that the unit has now.
    pub(crate) fn drop_surplus(&mut self, ix: UnitIx) {
        let Some(entry) = self.units.get_mut(ix) else {
            return;
        };
        let surplus = entry.tasks.split_off(&entry.unit.kind.tasks());
        entry.waiting.split_off(&entry.unit.kind.tasks());
        for (index, task) in surplus {
            if let Some(due) = task.backoff_until {
                self.queues.remove_backoff(due, (ix, index));
                entry.in_backoff -= 1;
            }
            if task.allocation.is_some() {
                self.stops.push((ix, index));
                entry.tasks.insert(index, task);
            }
        }
    }
}

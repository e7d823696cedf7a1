//! Read-only queries of a [`Placer`].

use model::{Size, TaskId, Time, WorkerId};

use crate::{Placer, health::HealthState};

impl Placer {
    /// Returns the size of the allocation of a task that runs or is being started.
    #[must_use]
    pub fn allocated(&self, task: &TaskId) -> Option<Size> {
        let ix = self.units.find(&task.unit)?;
        Some(self.units.allocation((ix, task.index))?.size)
    }

    /// Returns the number of failures that count against a task. Failures that are blamed on workers
    /// do not count until there are as many of them as the task has attempts.
    #[must_use]
    pub fn failures(&self, task: &TaskId) -> u32 {
        let entry = self
            .units
            .find(&task.unit)
            .and_then(|ix| self.units.get(ix));
        let task = entry.and_then(|entry| entry.tasks.get(&task.index));
        task.map_or(0, |task| task.failures)
    }

    /// Returns whether a worker is quarantined, or being probed, after repeated failures.
    #[must_use]
    pub fn is_quarantined(&self, id: WorkerId) -> bool {
        let worker = self.workers.slot(id).map(|slot| self.workers.get(slot));
        worker.is_some_and(|worker| worker.health.state != HealthState::Healthy)
    }

    /// Returns the sum of the free room of all workers that take work.
    #[must_use]
    pub const fn free(&self) -> Size {
        self.workers.free()
    }

    /// Returns when [`Self::decide`] must be called next if nothing is reported before. A time in
    /// the past means at once.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.needs_pass || self.needs_recheck || !self.pending_decisions.is_empty() {
            return Some(Time::ZERO);
        }
        let timeout = self.cfg.checkpoint_timeout;
        let reservations = self.reservations.by_id.values();
        let reservations = reservations.map(|r| {
            r.preemption
                .requested_at
                .map_or(r.shadow_time, |at| at + timeout)
        });
        let quarantine = self.quarantined.first().map(|(until, _)| *until);
        let overdue_check = (!self.queues.is_empty()).then_some(self.next_overdue_check);
        let gangs = (self.retry_gangs_at < Time::MAX).then_some(self.retry_gangs_at);
        let others = [
            self.queues.next_backoff_end(),
            self.stops.next_at(),
            self.growth_deadline(),
            quarantine,
            overdue_check,
            gangs,
        ];
        reservations.chain(others.into_iter().flatten()).min()
    }
}

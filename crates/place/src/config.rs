//! Settings of a [`Placer`](crate::Placer).

use std::time::Duration;

use model::Class;

/// The rule that chooses among the workers with room for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FitRule {
    /// Chooses the worker that is left with the least free processors and memory (best fit).
    #[default]
    Best,
    /// Chooses the worker with the largest dot product of free room and task size.
    Alignment,
    /// Chooses the worker whose free shares of processors and memory are then closest to each
    /// other. A quarter of the sum of both shares is added to their difference, so that fuller
    /// workers are preferred.
    Balance,
}

/// Which tasks may use reserved room before the unit that it is reserved for starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backfill {
    /// None. Reserved room stays idle until the unit starts.
    None,
    /// Tasks that are expected to end before the reservation is due. They are checkpointed if they
    /// run longer.
    #[default]
    Revocable,
}

/// Settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlaceConfig {
    /// The number of decisions in one call of [`Placer::decide`](crate::Placer::decide) after which
    /// its pass over the queues ends; a gang that is being started still starts whole. 128 by
    /// default.
    pub max_starts_per_call: usize,
    /// The rule that chooses a worker. [`FitRule::Best`] by default.
    pub fit: FitRule,
    /// Which tasks may use room that is reserved for others. [`Backfill::Revocable`] by default.
    pub backfill: Backfill,
    /// The share of the workers without accelerators that take interactive work only, in
    /// thousandths. 20 by default.
    pub urgent_reserve_permille: u32,
    /// The processors and memory that an accelerator host keeps free for each of its free
    /// accelerators, in thousandths of the host's processors and memory per accelerator. 500 by
    /// default.
    pub accelerator_share_permille: u64,
    /// How long an interactive unit waits before room is reserved for it. 500 ms by default.
    pub interactive_reservation_delay: Duration,
    /// How long a standard unit waits before room is reserved for it. 5 s by default.
    pub standard_reservation_delay: Duration,
    /// How long a bulk unit waits before room is reserved for it. 60 s by default.
    pub bulk_reservation_delay: Duration,
    /// How long a reservation for an interactive or standard unit waits for running tasks to end by
    /// themselves before less urgent tasks in its room are checkpointed. Zero by default.
    pub preempt_after: Duration,
    /// The maximum number of reservations for bulk units at a time. 4 by default.
    pub max_bulk_reservations: usize,
    /// The maximum number of reservations for interactive and standard units at a time, not
    /// counting those made by preemption. 16 by default.
    pub max_urgent_reservations: usize,
    /// The number of units without room that a pass skips in the queue of one team and class before
    /// it leaves that queue. 32 by default.
    pub scan_depth: usize,
    /// The time that a task has to checkpoint before it is stopped. 3 s by default.
    pub checkpoint_timeout: Duration,
    /// The number of preemptions after which a task is no longer preempted. 3 by default.
    pub max_preemptions: u32,
    /// Whether more urgent work may preempt less urgent work. True by default.
    pub is_preemption_enabled: bool,
    /// The backoff after a task's first failure; it doubles with each further failure. 1 s by
    /// default.
    pub backoff: Duration,
    /// The upper bound of the backoff. 60 s by default.
    pub max_backoff: Duration,
    /// The number of consecutive failures after which a worker is quarantined. 3 by default.
    pub quarantine_failures: u32,
    /// The length of a worker's first quarantine; it doubles with each failed probe. 60 s by
    /// default.
    pub quarantine: Duration,
    /// The upper bound of a quarantine's length. 30 min by default.
    pub max_quarantine: Duration,
    /// The maximum rate of stops after a cancellation, per second. 500 by default.
    pub max_stops_per_s: u64,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            max_starts_per_call: 128,
            fit: FitRule::default(),
            backfill: Backfill::default(),
            urgent_reserve_permille: 20,
            accelerator_share_permille: 500,
            interactive_reservation_delay: Duration::from_millis(500),
            standard_reservation_delay: Duration::from_secs(5),
            bulk_reservation_delay: Duration::from_secs(60),
            preempt_after: Duration::ZERO,
            max_bulk_reservations: 4,
            max_urgent_reservations: 16,
            scan_depth: 32,
            checkpoint_timeout: Duration::from_secs(3),
            max_preemptions: 3,
            is_preemption_enabled: true,
            backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(60),
            quarantine_failures: 3,
            quarantine: Duration::from_secs(60),
            max_quarantine: Duration::from_secs(30 * 60),
            max_stops_per_s: 500,
        }
    }
}

impl PlaceConfig {
    /// Returns how long a unit of `class` waits before room is reserved for it.
    pub(crate) const fn reservation_delay(&self, class: Class) -> Duration {
        match class {
            Class::Interactive => self.interactive_reservation_delay,
            Class::Standard => self.standard_reservation_delay,
            Class::Bulk => self.bulk_reservation_delay,
        }
    }

    /// Returns the backoff after the given number of failures.
    pub(crate) fn backoff_after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let wait = self.backoff.saturating_mul(1 << doublings);
        wait.min(self.max_backoff)
    }
}

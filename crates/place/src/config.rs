//! Settings of a [`Placer`](crate::Placer).

use std::time::Duration;

use model::Class;

/// How a worker is chosen among those with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FitRule {
    /// The worker with the least room left over, over all dimensions.
    #[default]
    Best,
    /// The worker whose free room points the same way as the task's size.
    Alignment,
    /// The worker whose processors and memory are left in the closest proportion.
    Balance,
}

/// What may run ahead of a unit that waits for room which is kept for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backfill {
    /// Nothing: kept room stays idle until the unit starts.
    None,
    /// Tasks that are expected to end in time, and are checkpointed if they do not.
    #[default]
    Revocable,
}

/// Settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlaceConfig {
    /// The most starts of one call of [`Placer::decide`](crate::Placer::decide). 128 by default.
    pub max_starts_per_call: usize,
    /// How a worker is chosen. [`FitRule::Best`] by default.
    pub fit: FitRule,
    /// What may use room that is kept for others. [`Backfill::Revocable`] by default.
    pub backfill: Backfill,
    /// Workers without accelerators kept for interactive work, in thousandths. 20 by default.
    pub urgent_reserve_permille: u32,
    /// The share of an accelerator host that is kept beside each of its free accelerators, in
    /// thousandths of the host's processors and memory per accelerator. 500 by default.
    pub accelerator_share_permille: u64,
    /// How long an interactive unit waits before room is kept for it. 500 ms by default.
    pub interactive_reservation_delay: Duration,
    /// How long a standard unit waits before room is kept for it. 5 s by default.
    pub standard_reservation_delay: Duration,
    /// How long a bulk unit waits before room is kept for it. 60 s by default.
    pub bulk_reservation_delay: Duration,
    /// How long room that is kept for an interactive or standard unit may drain by itself before
    /// less urgent tasks there are checkpointed. Zero by default.
    pub preempt_after: Duration,
    /// The most bulk units that room is kept for at a time. 4 by default.
    pub max_bulk_reservations: usize,
    /// The most interactive and standard units that room is kept for at a time, besides those that
    /// preempted. 16 by default.
    pub max_urgent_reservations: usize,
    /// The most units of one team and class that a call looks at. 32 by default.
    pub scan_depth: usize,
    /// How long a task may take to checkpoint before it is stopped. 3 s by default.
    pub checkpoint_timeout: Duration,
    /// How often a task is preempted at the most. 3 by default.
    pub max_preemptions: u32,
    /// Whether urgent work preempts at all. True by default.
    pub is_preemption_enabled: bool,
    /// The wait after a task's first failure; it doubles with each further one. 1 s by default.
    pub backoff: Duration,
    /// The longest wait after a failure. 60 s by default.
    pub max_backoff: Duration,
    /// Failures in a row after which a worker is quarantined. 3 by default.
    pub quarantine_failures: u32,
    /// How long a first quarantine lasts; it doubles with each failed probe. 60 s by default.
    pub quarantine: Duration,
    /// The longest quarantine. 30 min by default.
    pub max_quarantine: Duration,
    /// The most stops given out per second after a cancellation. 500 by default.
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
    pub(crate) const fn reservation_delay(&self, class: Class) -> Duration {
        match class {
            Class::Interactive => self.interactive_reservation_delay,
            Class::Standard => self.standard_reservation_delay,
            Class::Bulk => self.bulk_reservation_delay,
        }
    }

    /// The wait after the `failures`-th failure.
    pub(crate) fn backoff_after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let wait = self.backoff.saturating_mul(1 << doublings);
        wait.min(self.max_backoff)
    }
}

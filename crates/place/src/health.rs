//! Worker health: a circuit breaker that distinguishes faulty workers from faulty tasks.
//!
//! A failure of a unit that has failed on other workers and succeeded on none counts against the
//! task only. Any other failure adds to the worker's consecutive failures, which a success resets.
//! The worker is suspected if the failed unit has succeeded on another worker, or if several units
//! are among the consecutive failures. From its second consecutive failure on, a suspected worker
//! is blamed instead of the task, and after `PlaceConfig::quarantine_failures` of them it is
//! quarantined. A quarantined or probed worker is blamed for every failure.

use std::collections::BTreeSet;

use model::Time;

use crate::config::PlaceConfig;

/// The maximum number of distinct failed units that are tracked per worker.
const MAX_FAILED_UNITS: usize = 8;

/// The state of a worker's circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The worker takes any work.
    #[default]
    Healthy,
    /// The worker takes no work before `until`.
    Quarantined { until: Time },
    /// The worker takes a single task, whose end decides whether it is healthy again. `is_busy` is
    /// true while that task runs.
    Probing { is_busy: bool },
}

/// A worker's failures and the resulting state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// The number of failures since the last success or quarantine, without those that are
    /// attributed to the unit alone.
    consecutive_failures: u32,
    /// The units with such a failure.
    failed_units: BTreeSet<u32>,
    /// The number of quarantines since the worker was last healthy after a probe.
    quarantine_count: u32,
}

impl Health {
    /// Records that a task succeeded. A successful probe makes the worker healthy.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_units.clear();
        if matches!(self.state, HealthState::Probing { .. }) {
            self.quarantine_count = 0;
            self.state = HealthState::Healthy;
        }
    }

    /// Records a failure of a unit and returns whether the worker is blamed for it.
    /// `has_succeeded_elsewhere` and `has_failed_elsewhere` say whether the unit has succeeded or
    /// failed on other workers.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        unit: u32,
        has_succeeded_elsewhere: bool,
        has_failed_elsewhere: bool,
        cfg: &PlaceConfig,
    ) -> bool {
        match self.state {
            HealthState::Healthy => {}
            // The task started before the quarantine and is assumed to fail for the same reason.
            HealthState::Quarantined { .. } => return true,
            HealthState::Probing { .. } => {
                self.quarantine(now, cfg);
                return true;
            }
        }
        if has_failed_elsewhere && !has_succeeded_elsewhere {
            return false;
        }
        self.consecutive_failures += 1;
        if self.failed_units.len() < MAX_FAILED_UNITS {
            self.failed_units.insert(unit);
        }
        let is_suspect = has_succeeded_elsewhere || self.failed_units.len() > 1;
        if is_suspect && self.consecutive_failures >= cfg.quarantine_failures {
            self.quarantine(now, cfg);
        }
        is_suspect && self.consecutive_failures > 1
    }

    fn quarantine(&mut self, now: Time, cfg: &PlaceConfig) {
        let doublings = self.quarantine_count.min(16);
        let span = cfg.quarantine.saturating_mul(1 << doublings);
        let until = now + span.min(cfg.max_quarantine);
        self.state = HealthState::Quarantined { until };
        self.quarantine_count += 1;
        self.consecutive_failures = 0;
        self.failed_units.clear();
    }

    /// Ends a probe without a result, so that the next task becomes the probe.
    pub(crate) fn reset_probe(&mut self) {
        if let HealthState::Probing { is_busy } = &mut self.state {
            *is_busy = false;
        }
    }
}

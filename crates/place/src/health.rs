//! Tells a worker that fails everything from a task that fails everywhere.
//!
//! A failure counts against the worker only if the unit is known to work elsewhere, or if another
//! unit failed there too with no success in between. It counts against the task unless the worker is
//! under suspicion by then.

use std::collections::BTreeSet;

use model::Time;

use crate::config::PlaceConfig;

/// Units that failed in a row which are remembered per worker.
const MAX_FAILED_UNITS: usize = 8;

/// Whether a worker is trusted with work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It takes any work.
    #[default]
    Healthy,
    /// It takes none until then.
    Quarantined { until: Time },
    /// It takes one task, whose end decides.
    Probing { is_busy: bool },
}

/// A worker's record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// Failures since the last success that count against the worker.
    consecutive_failures: u32,
    /// Units that failed since the last success.
    failed_units: BTreeSet<u32>,
    quarantine_count: u32,
}

impl Health {
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_units.clear();
        if matches!(self.state, HealthState::Probing { .. }) {
            self.quarantine_count = 0;
            self.state = HealthState::Healthy;
        }
    }

    /// Takes a failure of a unit and returns whether the worker is under suspicion for it.
    /// `works_elsewhere` says that the unit has succeeded on another worker, `fails_elsewhere` that
    /// it has failed on others and succeeded nowhere.
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
            // What was started there before fails like the rest.
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

    /// The end of a probe that decided nothing: the next task probes.
    pub(crate) fn reset_probe(&mut self) {
        if let HealthState::Probing { is_busy } = &mut self.state {
            *is_busy = false;
        }
    }
}

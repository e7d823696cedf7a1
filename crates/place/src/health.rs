//! Tells a worker that fails everything from a task that fails everywhere.
//!
//! A failure counts against the worker only if the unit is known to work elsewhere, or if another
//! unit failed there too with no success in between. It counts against the task unless the worker is
//! under suspicion by then.

use std::collections::BTreeSet;

use model::Time;

use crate::config::PlaceConfig;

/// Units that failed in a row which are remembered per worker.
const UNITS_REMEMBERED: usize = 8;

/// Whether a worker is trusted with work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trust {
    /// It takes any work.
    #[default]
    Full,
    /// It takes none until then.
    Quarantined { until: Time },
    /// It takes one task, whose end decides.
    Probing { busy: bool },
}

/// A worker's record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) trust: Trust,
    /// Failures since the last success that count against the worker.
    in_a_row: u32,
    /// Units that failed since the last success.
    units: BTreeSet<u32>,
    quarantines: u32,
}

impl Health {
    pub(crate) fn succeeded(&mut self) {
        self.in_a_row = 0;
        self.units.clear();
        if matches!(self.trust, Trust::Probing { .. }) {
            self.quarantines = 0;
            self.trust = Trust::Full;
        }
    }

    /// Takes a failure of a unit and returns whether the worker is under suspicion for it.
    /// `works_elsewhere` says that the unit has succeeded on another worker, `fails_elsewhere` that
    /// it has failed on others and succeeded nowhere.
    pub(crate) fn failed(
        &mut self,
        now: Time,
        unit: u32,
        works_elsewhere: bool,
        fails_elsewhere: bool,
        cfg: &PlaceConfig,
    ) -> bool {
        match self.trust {
            Trust::Full => {}
            // What was started there before fails like the rest.
            Trust::Quarantined { .. } => return true,
            Trust::Probing { .. } => {
                self.quarantine(now, cfg);
                return true;
            }
        }
        if fails_elsewhere && !works_elsewhere {
            return false;
        }
        self.in_a_row += 1;
        if self.units.len() < UNITS_REMEMBERED {
            self.units.insert(unit);
        }
        let suspect = works_elsewhere || self.units.len() > 1;
        if suspect && self.in_a_row >= cfg.quarantine_failures {
            self.quarantine(now, cfg);
        }
        suspect && self.in_a_row > 1
    }

    fn quarantine(&mut self, now: Time, cfg: &PlaceConfig) {
        let doublings = self.quarantines.min(16);
        let span = cfg.quarantine.saturating_mul(1 << doublings);
        let until = now + span.min(cfg.max_quarantine);
        self.trust = Trust::Quarantined { until };
        self.quarantines += 1;
        self.in_a_row = 0;
        self.units.clear();
    }

    /// The end of a probe that decided nothing: the next task probes.
    pub(crate) fn probe_undecided(&mut self) {
        if let Trust::Probing { busy } = &mut self.trust {
            *busy = false;
        }
    }
}

//! The retry budget of a service, and the random numbers for jitter.

use std::time::Duration;

use crate::config::RouteConfig;

/// Budget units that one retry costs. A request deposits [`RouteConfig::retry_percent`] units, so one
/// unit is 1 % of a retry.
const UNITS_PER_RETRY: u32 = 100;

/// A token bucket that limits the retries of a service. Each new request deposits a part of a retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    units: u32,
}

impl Default for RetryBudget {
    /// Starts with one retry, so that a service with few requests can retry as well.
    fn default() -> Self {
        Self {
            units: UNITS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a new request, up to [`RouteConfig::retry_burst`] retries.
    pub(crate) fn deposit(&mut self, cfg: &RouteConfig) {
        let max = cfg.retry_burst * UNITS_PER_RETRY;
        self.units = (self.units + cfg.retry_percent).min(max);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) const fn try_take(&mut self) -> bool {
        let is_available = self.units >= UNITS_PER_RETRY;
        if is_available {
            self.units -= UNITS_PER_RETRY;
        }
        is_available
    }
}

/// A seeded `SplitMix64` generator, so that runs with the same seed have the same jitter.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random duration from zero to `max`, in whole milliseconds.
    pub(crate) fn duration_up_to(&mut self, max: Duration) -> Duration {
        let ms = u64::try_from(max.as_millis()).unwrap_or(u64::MAX - 1);
        Duration::from_millis(self.next() % (ms + 1))
    }
}

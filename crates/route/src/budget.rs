//! The retry budget of a service, and jitter.

use std::time::Duration;

use crate::config::RouteConfig;

/// A retry in parts, so that each request pays a part of one in.
const RETRY_PARTS: u32 = 100;

/// How many retries a service has left: each request pays a part of one in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    parts: u32,
}

impl Default for RetryBudget {
    /// One retry is there from the start: a service with few requests has some use of it too.
    fn default() -> Self {
        Self { parts: RETRY_PARTS }
    }
}

impl RetryBudget {
    pub(crate) fn pay_in(&mut self, cfg: &RouteConfig) {
        let most = cfg.retry_burst * RETRY_PARTS;
        self.parts = (self.parts + cfg.retry_percent).min(most);
    }

    /// Takes a retry out, if there is one.
    pub(crate) const fn take(&mut self) -> bool {
        let enough = self.parts >= RETRY_PARTS;
        if enough {
            self.parts -= RETRY_PARTS;
        }
        enough
    }
}

/// A seeded generator (`SplitMix64`): a router's jitter is the same in each run with one seed.
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

    /// A span from zero to `most`, in whole milliseconds.
    pub(crate) fn span(&mut self, most: Duration) -> Duration {
        let ms = u64::try_from(most.as_millis()).unwrap_or(u64::MAX - 1);
        Duration::from_millis(self.next() % (ms + 1))
    }
}

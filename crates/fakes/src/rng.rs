//! A small seeded generator of random numbers, so that a run can be repeated to the byte.

use std::time::Duration;

/// A `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator whose numbers depend on the seed alone.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        if n == 0 { 0 } else { self.next_u64() % n }
    }

    /// True in `per_mille` of 1,000 cases.
    pub fn chance(&mut self, per_mille: u32) -> bool {
        self.below(1_000) < u64::from(per_mille)
    }

    /// A span from `min` up to, but not including, `max`, in whole milliseconds.
    pub fn span(&mut self, min: Duration, max: Duration) -> Duration {
        let width = max.saturating_sub(min).as_millis();
        let ms = self.below(u64::try_from(width).unwrap_or(u64::MAX));
        min + Duration::from_millis(ms)
    }
}

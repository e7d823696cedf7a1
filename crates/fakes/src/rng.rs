//! A small seeded random number generator, so that a run can be repeated exactly.

use std::time::Duration;

/// A `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Returns a generator whose numbers depend only on the seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `n`, or 0 without a draw if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        if n == 0 { 0 } else { self.next_u64() % n }
    }

    /// Returns true with a chance of `per_mille` in 1,000.
    pub fn chance(&mut self, per_mille: u32) -> bool {
        self.below(1_000) < u64::from(per_mille)
    }

    /// Returns a duration from `min` up to, but not including, `max`: `min` plus whole milliseconds.
    pub fn span(&mut self, min: Duration, max: Duration) -> Duration {
        let width = max.saturating_sub(min).as_millis();
        let ms = self.below(u64::try_from(width).unwrap_or(u64::MAX));
        min + Duration::from_millis(ms)
    }
}

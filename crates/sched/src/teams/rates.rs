//! Which jobs of a team are within its rate.

/// The time that it takes to fill an empty bucket, in seconds.
const BURST_S: f64 = 5.0;

/// The least capacity of a bucket, in jobs. A team with a small weight may submit a batch of jobs at once.
const MIN_BURST: f64 = 20.0;

/// A token bucket that counts the jobs of a team in the order of their acceptance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Bucket {
    /// The number of jobs that may be accepted now within the rate, as of `at_unix_ms`.
    tokens: f64,
    at_unix_ms: u64,
}

impl Bucket {
    /// Returns a full bucket.
    pub(crate) fn full(rate: f64) -> Self {
        Self {
            tokens: capacity(rate),
            at_unix_ms: 0,
        }
    }

    /// Counts a job that was accepted at `accepted_unix_ms`, for a team that is entitled to `rate` jobs a second. Returns
    /// whether the job is surplus. Jobs whose acceptance is reported out of order count as accepted at the latest time
    /// so far.
    pub(crate) fn take(&mut self, rate: f64, accepted_unix_ms: u64) -> bool {
        let passed_ms = accepted_unix_ms.saturating_sub(self.at_unix_ms);
        self.at_unix_ms = self.at_unix_ms.max(accepted_unix_ms);
        let passed_ms = f64::from(u32::try_from(passed_ms).unwrap_or(u32::MAX));
        self.tokens = (self.tokens + passed_ms / 1_000.0 * rate).min(capacity(rate));
        let is_surplus = self.tokens < 1.0;
        if !is_surplus {
            self.tokens -= 1.0;
        }
        is_surplus
    }
}

/// Returns a value that is not negative in thousandths, rounded.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) const fn milli(value: f64) -> u64 {
    (value * 1_000.0).round() as u64
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(MIN_BURST)
}

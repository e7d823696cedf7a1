//! Limits how many cancellations of unknown jobs a node stores.
//!
//! Each takes a row of the table until the scheduler deletes it, and anyone can invent ids. A cancellation of an accepted
//! job has no limit.

use std::time::Duration;

use model::Time;

/// The most cancellations that are stored at once after a pause.
const BURST: u32 = 100;

/// The time after which one more may be stored.
const INTERVAL: Duration = Duration::from_millis(100);

/// A token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EarlyCancelLimit {
    /// When the bucket is full if nothing more is taken.
    full_at: Time,
}

impl EarlyCancelLimit {
    /// Takes a token. Returns `None` if there was one, or else how long to wait for it.
    pub(crate) fn take(&mut self, now: Time) -> Option<Duration> {
        let next = self.full_at.max(now) + INTERVAL;
        let wait = (next - now).saturating_sub(INTERVAL * BURST);
        if !wait.is_zero() {
            return Some(wait);
        }
        self.full_at = next;
        None
    }
}

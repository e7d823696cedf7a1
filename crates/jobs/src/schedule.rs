//! Schedules of jobs that run more than once.

use serde::{Deserialize, Serialize};

/// The times at which a job that runs more than once is due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub count: u32,
}

impl Schedule {
    /// Returns when an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

//! When a job's occurrences are due.

use serde::{Deserialize, Serialize};

/// The times of a job that runs more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// How many occurrences there are.
    pub count: u32,
}

impl Schedule {
    /// When an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

//! The timing of a read that is repeated, with at most one in progress.

use std::time::Duration;

use model::Time;

/// The time of the next read, and whether one is in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Poll {
    is_reading: bool,
    next: Time,
}

impl Poll {
    /// Returns whether a read is due now, and marks it as in progress if so.
    pub(crate) fn begin(&mut self, now: Time, interval: Duration) -> bool {
        let is_due = !self.is_reading && now >= self.next;
        if is_due {
            self.is_reading = true;
            self.next = now + interval;
        }
        is_due
    }

    /// Marks the read in progress as answered.
    pub(crate) fn end(&mut self) {
        self.is_reading = false;
    }

    /// Makes the next read due at once.
    pub(crate) fn make_due(&mut self) {
        self.next = Time::ZERO;
    }
}

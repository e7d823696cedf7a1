//! A read that is made again and again, one at a time.

use std::time::Duration;

use model::Time;

/// When a read is next made, and whether one is under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Poll {
    reading: bool,
    next: Time,
}

impl Poll {
    /// Whether a read is to be made now. It then counts as under way.
    pub(crate) fn begin(&mut self, now: Time, interval: Duration) -> bool {
        let due = !self.reading && now >= self.next;
        if due {
            self.reading = true;
            self.next = now + interval;
        }
        due
    }

    /// The read was answered.
    pub(crate) fn end(&mut self) {
        self.reading = false;
    }

    /// The next read is made without waiting for the interval.
    pub(crate) fn soon(&mut self) {
        self.next = Time::ZERO;
    }
}

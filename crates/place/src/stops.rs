//! Stops that follow a cancellation, given out at a bounded rate.

use std::collections::VecDeque;

use model::Time;

use crate::units::TaskKey;

/// The rate is kept over intervals of this length, in milliseconds.
const RATE_INTERVAL_MS: u64 = 100;

/// Tasks that are to be stopped, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopQueue {
    tasks: VecDeque<TaskKey>,
    interval: u64,
    issued: u64,
}

impl StopQueue {
    pub(crate) fn push(&mut self, key: TaskKey) {
        self.tasks.push_back(key);
    }

    /// The next task to stop, if the rate allows one now.
    pub(crate) fn pop(&mut self, now: Time, max_stops_per_s: u64) -> Option<TaskKey> {
        let interval = now.as_ms() / RATE_INTERVAL_MS;
        if interval != self.interval {
            self.interval = interval;
            self.issued = 0;
        }
        let allowed = (max_stops_per_s * RATE_INTERVAL_MS / 1_000).max(1);
        if self.issued >= allowed {
            return None;
        }
        let key = self.tasks.pop_front()?;
        self.issued += 1;
        Some(key)
    }

    /// When the next stop may be given out.
    pub(crate) fn next_at(&self) -> Option<Time> {
        let next = Time::from_ms((self.interval + 1) * RATE_INTERVAL_MS);
        (!self.tasks.is_empty()).then_some(next)
    }
}

//! Stops that follow a cancellation, given out at a bounded rate.

use std::collections::VecDeque;

use model::Time;

use crate::units::TaskKey;

/// The rate is kept over intervals of this length, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// Tasks that are to be stopped, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stops {
    tasks: VecDeque<TaskKey>,
    interval: u64,
    given: u64,
}

impl Stops {
    pub(crate) fn push(&mut self, key: TaskKey) {
        self.tasks.push_back(key);
    }

    /// The next task to stop, if the rate allows one now.
    pub(crate) fn pop(&mut self, now: Time, max_stops_per_s: u64) -> Option<TaskKey> {
        let interval = now.as_ms() / INTERVAL_MS;
        if interval != self.interval {
            self.interval = interval;
            self.given = 0;
        }
        let allowed = (max_stops_per_s * INTERVAL_MS / 1_000).max(1);
        if self.given >= allowed {
            return None;
        }
        let key = self.tasks.pop_front()?;
        self.given += 1;
        Some(key)
    }

    /// When the next stop may be given out.
    pub(crate) fn next(&self) -> Option<Time> {
        let next = Time::from_ms((self.interval + 1) * INTERVAL_MS);
        (!self.tasks.is_empty()).then_some(next)
    }
}

//! A queue of tasks to stop at a bounded rate, after a unit was cancelled or its number of tasks
//! was lowered.

use std::collections::VecDeque;

use model::Time;

use crate::units::TaskKey;

/// The length of the intervals over which the rate is limited, in milliseconds.
const RATE_INTERVAL_MS: u64 = 100;

/// Tasks to stop, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopQueue {
    tasks: VecDeque<TaskKey>,
    /// The number of the current interval.
    interval: u64,
    /// The number of stops issued in the current interval.
    issued: u64,
}

impl StopQueue {
    pub(crate) fn push(&mut self, key: TaskKey) {
        self.tasks.push_back(key);
    }

    /// Removes and returns the next task to stop, if the rate allows one now.
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

    /// Returns when the next stop may be issued; `None` if there is none to issue.
    pub(crate) fn next_at(&self) -> Option<Time> {
        let next = Time::from_ms((self.interval + 1) * RATE_INTERVAL_MS);
        (!self.tasks.is_empty()).then_some(next)
    }
}

//! Statistics of queues: run times, and the share of workers that approvals allow.
//!
//! Clients' estimates are off by up to nine tenths in either direction, but the tasks of one queue
//! have similar run times over a day. So the measured run times of a queue are combined with
//! the client's estimate.

use std::{collections::HashMap, time::Duration};

/// The number of recent runs that a mean covers: a new run has a weight of one in this many.
const RUN_TIME_WINDOW: f64 = 64.0;

/// The number of runs from which the mean is used in addition to the client's estimate.
const MIN_RUNS: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    /// The mean run time, in seconds.
    seconds: f64,
    /// The mean ratio of run time to estimate.
    ratio: f64,
    /// The number of recorded runs.
    runs: u32,
}

/// Mean run times by queue.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    by_queue: HashMap<String, Mean>,
}

impl RunTimes {
    /// Records the duration of a successful run and the client's estimate for it.
    pub(crate) fn record(&mut self, queue: &str, estimate: Duration, taken: Duration) {
        let mean = match self.by_queue.get_mut(queue) {
            Some(mean) => mean,
            None => self.by_queue.entry(queue.to_owned()).or_default(),
        };
        mean.runs = mean.runs.saturating_add(1);
        let weight = 1.0 / f64::from(mean.runs).min(RUN_TIME_WINDOW);
        mean.seconds += weight * (taken.as_secs_f64() - mean.seconds);
        if !estimate.is_zero() {
            let ratio = taken.as_secs_f64() / estimate.as_secs_f64();
            mean.ratio += weight * (ratio - mean.ratio);
        }
    }

    /// Returns the expected duration of a task: the mean of the queue's average run time and the
    /// estimate corrected by the queue's average ratio of run time to estimate.
    pub(crate) fn expected(&self, queue: &str, estimate: Duration) -> Duration {
        match self.by_queue.get(queue) {
            Some(mean) if mean.runs >= MIN_RUNS && mean.ratio > 0.0 && !estimate.is_zero() => {
                let corrected = estimate.as_secs_f64() * mean.ratio;
                Duration::from_secs_f64(f64::midpoint(mean.seconds, corrected))
            }
            Some(mean) if mean.runs >= MIN_RUNS => Duration::from_secs_f64(mean.seconds),
            _ => estimate,
        }
    }
}

/// The share of workers that is expected to be allowed before there is any answer.
const DEFAULT_ALLOWED_SHARE: f64 = 0.5;

/// The approximate number of recently queried workers that the share covers.
const ALLOWED_SHARE_WINDOW: f64 = 2_000.0;

/// The share of workers that approvals allow, by queue.
#[derive(Debug, Default)]
pub(crate) struct AllowedShares {
    /// The number of workers that were asked about and the number of those that were allowed.
    by_queue: HashMap<String, (f64, f64)>,
}

impl AllowedShares {
    /// Records an answer: `allowed` of the `asked` workers are allowed.
    pub(crate) fn record(&mut self, queue: &str, asked: usize, allowed: usize) {
        let counts = match self.by_queue.get_mut(queue) {
            Some(counts) => counts,
            None => self.by_queue.entry(queue.to_owned()).or_default(),
        };
        let float = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        counts.0 += float(asked);
        counts.1 += float(allowed);
        if counts.0 > ALLOWED_SHARE_WINDOW {
            let kept = ALLOWED_SHARE_WINDOW / counts.0;
            counts.0 *= kept;
            counts.1 *= kept;
        }
    }

    /// Returns the share of workers that is likely to be allowed.
    pub(crate) fn expected(&self, queue: &str) -> f64 {
        let counts = self.by_queue.get(queue);
        counts.map_or(DEFAULT_ALLOWED_SHARE, |(asked, allowed)| {
            allowed / asked.max(1.0)
        })
    }
}

//! What is learned of queues: run times, and how many workers approvals allow.
//!
//! Load pattern: clients' estimates are off by up to nine tenths either way, but the tasks of one queue
//! are alike over a day. What is learned of a queue is weighed against the client's figure.

use std::{collections::HashMap, time::Duration};

/// The weight of a new run in the mean, as one part in this many. About the last 64 runs count.
const MEMORY: f64 = 64.0;

/// Runs that are needed before the mean counts for more than the client's figure.
const ENOUGH: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    ratio: f64,
    runs: u32,
}

/// Mean run times by queue.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    by_queue: HashMap<String, Mean>,
}

impl RunTimes {
    /// Notes how long a good run took that had been estimated.
    pub(crate) fn note(&mut self, queue: &str, estimate: Duration, taken: Duration) {
        let mean = match self.by_queue.get_mut(queue) {
            Some(mean) => mean,
            None => self.by_queue.entry(queue.to_owned()).or_default(),
        };
        mean.runs = mean.runs.saturating_add(1);
        let weight = 1.0 / f64::from(mean.runs).min(MEMORY);
        mean.seconds += weight * (taken.as_secs_f64() - mean.seconds);
        if !estimate.is_zero() {
            let ratio = taken.as_secs_f64() / estimate.as_secs_f64();
            mean.ratio += weight * (ratio - mean.ratio);
        }
    }

    /// How long a task is expected to take: half the queue's mean and half its corrected estimate.
    pub(crate) fn expect(&self, queue: &str, estimate: Duration) -> Duration {
        match self.by_queue.get(queue) {
            Some(mean) if mean.runs >= ENOUGH && mean.ratio > 0.0 && !estimate.is_zero() => {
                let corrected = estimate.as_secs_f64() * mean.ratio;
                Duration::from_secs_f64(f64::midpoint(mean.seconds, corrected))
            }
            Some(mean) if mean.runs >= ENOUGH => Duration::from_secs_f64(mean.seconds),
            _ => estimate,
        }
    }
}

/// The share of workers that is expected to be allowed before anything is known.
const FIRST_SHARE: f64 = 0.5;

/// About so many of the last workers that were asked about count.
const SHARE_MEMORY: f64 = 2_000.0;

/// The share of workers that approvals allow, by queue.
#[derive(Debug, Default)]
pub(crate) struct AllowedShares {
    /// How many were asked about, and how many of them were allowed.
    by_queue: HashMap<String, (f64, f64)>,
}

impl AllowedShares {
    /// Notes that of so many workers asked about so many are allowed.
    pub(crate) fn note(&mut self, queue: &str, asked: usize, allowed: usize) {
        let counts = match self.by_queue.get_mut(queue) {
            Some(counts) => counts,
            None => self.by_queue.entry(queue.to_owned()).or_default(),
        };
        let float = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        counts.0 += float(asked);
        counts.1 += float(allowed);
        if counts.0 > SHARE_MEMORY {
            let kept = SHARE_MEMORY / counts.0;
            counts.0 *= kept;
            counts.1 *= kept;
        }
    }

    /// The share of workers that is likely to be allowed.
    pub(crate) fn expect(&self, queue: &str) -> f64 {
        let counts = self.by_queue.get(queue);
        counts.map_or(FIRST_SHARE, |(asked, allowed)| allowed / asked.max(1.0))
    }
}

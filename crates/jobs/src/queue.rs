//! Queues: the policies under which jobs are scheduled.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The longest duration that can result from an operator's settings. Longer ones are configuration
/// errors, and sums with them must not overflow.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A configured queue.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// Its rank; 0 is the most urgent.
    pub rank: u32,
    /// The number of failed runs of a task at which its job fails.
    pub max_failures: u32,
    /// The part of a job's latency objective that does not depend on its work.
    pub target: Duration,
    /// The factor for the part of the latency objective that depends on its work: this many times
    /// the duration of its critical path.
    pub stretch: f64,
    /// The cost of approvals of workers, if its steps need them.
    pub approval: Option<ApprovalCost>,
}

/// The cost of a request for approvals, and how long approvals are valid.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ApprovalCost {
    /// The time for each request, in milliseconds.
    pub base_ms: f64,
    /// The additional time for each worker that the request names, in milliseconds.
    pub per_worker_ms: f64,
    /// How long an approval is valid.
    pub valid: Duration,
}

impl ApprovalCost {
    /// Returns how long a request that names this many workers takes.
    #[must_use]
    pub fn of(&self, workers: usize) -> Duration {
        let workers = f64::from(u32::try_from(workers).unwrap_or(u32::MAX));
        clamped((self.base_ms + self.per_worker_ms * workers) / 1_000.0)
    }
}

impl Queue {
    /// Returns the latency objective of a job whose critical path takes `critical_path`.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = clamped(critical_path.as_secs_f64() * self.stretch);
        self.target.min(MAX_DURATION) + stretched
    }
}

/// Converts seconds that result from an operator's settings. Negative values and NaN become zero,
/// and the result is at most [`MAX_DURATION`].
fn clamped(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_DURATION.as_secs_f64()).max(0.0))
}

//! Queues: the policy under which jobs are handled.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The longest span that an operator's figures can come to. Longer ones are faults, and sums with them must not
/// overflow.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A queue of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// Its rank: 0 comes first.
    pub rank: u32,
    /// How many runs of a task may fail before its job has failed.
    pub max_failures: u32,
    /// The part of a job's latency objective that does not depend on its work.
    pub target: Duration,
    /// The part that does: a multiple of its longest chain of work.
    pub stretch: f64,
    /// What approvals of workers cost, if its steps need them.
    pub approval: Option<ApprovalCost>,
}

/// What a request for approvals costs, and how long they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ApprovalCost {
    /// Milliseconds for each request.
    pub base_ms: f64,
    /// Milliseconds more for each worker that it names.
    pub per_worker_ms: f64,
    /// How long an approval holds.
    pub valid: Duration,
}

impl ApprovalCost {
    /// How long a request takes that names so many workers.
    #[must_use]
    pub fn of(&self, workers: usize) -> Duration {
        let workers = f64::from(u32::try_from(workers).unwrap_or(u32::MAX));
        clamped((self.base_ms + self.per_worker_ms * workers) / 1_000.0)
    }
}

impl Queue {
    /// The time within which a job is to be done whose longest chain of work takes `chain`.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = clamped(critical_path.as_secs_f64() * self.stretch);
        self.target.min(MAX_DURATION) + stretched
    }
}

/// Seconds that an operator's figures came to. Negative ones and what is no number count as none.
fn clamped(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_DURATION.as_secs_f64()).max(0.0))
}

//! Jobs, as clients submit them.

use std::{sync::Arc, time::Duration};

use model::Size;
use serde::{Deserialize, Serialize};

use crate::{Queue, Schedule, error::JobError, trailing};

/// A job: steps of similar tasks, with dependencies between the steps.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// The queue that the job was submitted to, as configured at that time. The current
    /// configuration of the queue takes precedence; this one is used once the queue has been
    /// removed.
    pub queue: Queue,
    /// The specification of the tasks, passed to workers unchanged.
    pub spec: String,
    /// The steps. A step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When the job runs; `None` to run once, immediately.
    pub schedule: Option<Schedule>,
    /// When the job was accepted, in Unix milliseconds on the clock of the node that accepted it.
    pub accepted_unix_ms: u64,
    /// Whether the node that accepted the job itself requests the approvals of the first steps.
    pub approvals_asked: bool,
    /// The team that submitted the job; empty if it is not known.
    #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
    pub team: Arc<str>,
}

/// A set of similar tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a step"
)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u32,
    /// The size that each task needs on a worker.
    pub size: Size,
    /// The client's estimate of a task's duration, in milliseconds; 0 if there is none.
    pub estimate_ms: u64,
    /// The numbers of the steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints to resume from.
    #[serde(rename = "saves")]
    pub saves_progress: bool,
    /// Whether the tasks form a gang: they can only run all at the same time.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The label of the rack where the tasks' data lies; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// The maximum number of tasks of the step on one worker at a time.
    pub per_worker: Option<u32>,
    /// Whether several copies of a task may run at a time.
    #[serde(rename = "copies")]
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled, and are restarted when they end.
    #[serde(rename = "lasts")]
    pub is_long_running: bool,
    /// The image that the tasks run. Tasks of one image behave alike.
    pub image: Option<String>,
    /// The target for the tail latency of a long-running task, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub fills: bool,
    /// How many tasks of a long-running step the scheduler may take out of service at a time.
    pub may_miss: u32,
}

impl Step {
    /// Returns the size that is reserved on a worker for a task of the step.
    ///
    /// No processors are reserved for a step with `fills`: its tasks get what other tasks leave
    /// idle.
    #[must_use]
    pub const fn reserved(&self) -> Size {
        if self.fills {
            Size::new(0, self.size.memory_mb, self.size.accelerators)
        } else {
            self.size
        }
    }
}

/// Limits for accepted jobs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest task specification, in bytes. The platform documents the value.
    pub spec_bytes: usize,
    /// The largest number of steps. A job's progress must fit into one row of the table.
    pub steps: usize,
    /// The largest number of tasks of a step, for the same reason.
    pub tasks: u32,
    /// The largest number of occurrences, for the same reason.
    pub occurrences: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            spec_bytes: 4_000,
            steps: 64,
            tasks: 500,
            occurrences: 10_000,
        }
    }
}

impl Job {
    /// Checks the job against the default limits.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), JobError> {
        self.check_against(&Limits::default())
    }

    /// Checks the job against the given limits.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check_against(&self, limits: &Limits) -> Result<(), JobError> {
        if self.spec.len() > limits.spec_bytes {
            return Err(JobError::SpecTooLong {
                found: self.spec.len(),
                limit: limits.spec_bytes,
            });
        }
        if self.steps.is_empty() {
            return Err(JobError::NoSteps);
        }
        if self.steps.len() > limits.steps {
            return Err(JobError::TooManySteps {
                found: self.steps.len(),
                limit: limits.steps,
            });
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > limits.tasks {
                return Err(JobError::TaskCount {
                    step: number,
                    found: step.tasks,
                    limit: limits.tasks,
                });
            }
            if let Some(&on) = step.after.iter().find(|&&on| usize::from(on) >= number) {
                return Err(JobError::Dependency { step: number, on });
            }
        }
        match self.schedule {
            Some(s) if s.count > limits.occurrences || (s.count > 1 && s.interval_ms == 0) => {
                Err(JobError::Schedule {
                    count: s.count,
                    interval_ms: s.interval_ms,
                    limit: limits.occurrences,
                })
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns when an occurrence is due, in Unix milliseconds; 0 for a job without a schedule.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule
            .map_or(0, |schedule| schedule.due_unix_ms(occurrence))
    }

    /// Returns the time that the job takes with enough workers, by the client's estimates: that of its critical path.
    #[must_use]
    pub fn estimated_time(&self) -> Duration {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.after.iter();
            let start = dependencies
                .filter_map(|&on| ends.get(usize::from(on)))
                .max();
            ends.push(start.copied().unwrap_or(0).saturating_add(step.estimate_ms));
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns whether one of the steps runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}

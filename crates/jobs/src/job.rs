//! What a client submits.

use model::Size;
use serde::{Deserialize, Serialize};

use crate::{Queue, Schedule, error::JobError};

/// A job: steps of like tasks, with dependencies between the steps.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// The queue that the client has submitted it to, as it was then. The queue as configured now goes
    /// first; this one holds once the queue has been removed.
    pub queue: Queue,
    /// What the tasks are to do, handed to workers as it came.
    pub spec: String,
    /// The steps. A step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When it runs, if not once and at once.
    pub schedule: Option<Schedule>,
    /// When it was taken in, in Unix milliseconds on the clock of the node that took it in.
    pub accepted_unix_ms: u64,
    /// Whether the node that took it in asks for the approvals of its first steps itself.
    pub approvals_asked: bool,
}

/// Like tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a step"
)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each task holds of a worker.
    pub size: Size,
    /// The client's estimate of a task's duration, in milliseconds; 0 if it gave none.
    pub estimate_ms: u64,
    /// The numbers of the steps that must be done before.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints to resume from.
    #[serde(rename = "saves")]
    pub saves_progress: bool,
    /// Whether the tasks work only together, all at the same time.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The label of the rack where the tasks' data lies; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// How many tasks of the step may be on one worker at a time.
    pub per_worker: Option<u32>,
    /// Whether several copies of a task may run at a time.
    #[serde(rename = "copies")]
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled, and are restarted when they end.
    #[serde(rename = "lasts")]
    pub is_long_running: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound on the tail of the response times of a task that lasts, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that others leave.
    pub fills: bool,
    /// How many of the tasks of a step that lasts may be away at a time by the scheduler's doing.
    pub may_miss: u32,
}

impl Step {
    /// What a task of the step takes from the room of its worker.
    ///
    /// The processors of a step that fills are not reserved: its tasks get what others leave.
    #[must_use]
    pub const fn reserved(&self) -> Size {
        if self.fills {
            Size::new(0, self.size.memory_mb, self.size.accelerators)
        } else {
            self.size
        }
    }
}

/// Bounds of a job that is taken in.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest text for its tasks, in bytes. The platform's pages give the figure.
    pub spec_bytes: usize,
    /// The most steps. A job's progress has to fit into one row of the table.
    pub steps: usize,
    /// The most tasks of a step, for the same reason.
    pub tasks: u32,
    /// The most occurrences, for the same reason.
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
    /// The first fault that is found.
    pub fn check(&self) -> Result<(), JobError> {
        self.check_against(&Limits::default())
    }

    /// Checks the job against limits.
    ///
    /// # Errors
    ///
    /// The first fault that is found.
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

    /// How many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When an occurrence is due, in Unix milliseconds; 0 for a job that runs at once.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule
            .map_or(0, |schedule| schedule.due_unix_ms(occurrence))
    }

    /// Whether one of its steps runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}

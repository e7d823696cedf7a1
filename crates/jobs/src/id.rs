//! Ids of jobs, steps and tasks.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The length of a job id as text, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// The id of a job, chosen by the client that submits it. A resubmission carries the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// The error for a text that is not a job id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is not a job id of 16 lower-case hexadecimal digits")]
pub struct JobIdError(pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    /// Parses an id. Upper-case digits are rejected: the text of the id names tasks on workers and
    /// has to come back as it was sent.
    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(JobIdError(text.to_owned()));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobIdError(text.to_owned()))
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's number within the job, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's number within the job, from 0.
    pub step: u16,
    /// The task's number within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Returns the key of the step that the task belongs to.
    #[must_use]
    pub const fn step_key(&self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl StepKey {
    /// Returns the key of the task `index` of the step.
    #[must_use]
    pub const fn task(&self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step_key(), self.index)
    }
}

/// The error for a text that is not a task key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is not a task key")]
pub struct TaskKeyError(pub String);

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, TaskKeyError> {
        let error = || TaskKeyError(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let key = Self {
            job: next()?.parse().map_err(|_| error())?,
            occurrence: next()?.parse().map_err(|_| error())?,
            step: next()?.parse().map_err(|_| error())?,
            index: next()?.parse().map_err(|_| error())?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(key)
    }
}

//! Errors of submitted jobs and of stored values.

/// Why a submitted job is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum JobError {
    /// The job has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// The job has more steps than the limit.
    #[error("{found} steps, {limit} at most")]
    TooManySteps {
        /// The number of steps.
        found: usize,
        /// The largest number allowed.
        limit: usize,
    },
    /// A step has no tasks, or more than the limit.
    #[error("step {step} has {found} tasks, from 1 to {limit} are possible")]
    TaskCount {
        /// The step's number, from 0.
        step: usize,
        /// The number of tasks.
        found: u32,
        /// The largest number allowed.
        limit: u32,
    },
    /// A step depends on itself, on a later step, or on a step that does not exist.
    #[error("step {step} depends on step {on}, which is no earlier step")]
    Dependency {
        /// The step's number, from 0.
        step: usize,
        /// The number of the step that it depends on.
        on: u16,
    },
    /// The task specification is longer than the limit.
    #[error("the task text has {found} bytes, {limit} at most")]
    SpecTooLong {
        /// Its length in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The schedule has too many occurrences, or several with an interval of zero.
    #[error("the schedule has {count} occurrences every {interval_ms} ms; {limit} at most")]
    Schedule {
        /// The number of occurrences.
        count: u32,
        /// The time between two occurrences, in milliseconds.
        interval_ms: u64,
        /// The largest number of occurrences allowed.
        limit: u32,
    },
}

/// Why stored bytes could not be decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CodecError {
    /// The bytes have another layout, or end early.
    #[error("the stored bytes cannot be decoded: {0}")]
    Layout(#[from] bincode::error::DecodeError),
    /// The bytes have another format version, such as one of a newer version of this program.
    #[error("the stored bytes have format {0}, but this program reads format {expected}", expected = crate::codec::FORMAT_VERSION)]
    Format(u8),
    /// There are no bytes.
    #[error("the stored value is empty")]
    Empty,
}

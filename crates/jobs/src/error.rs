//! Why a job is refused, and why stored bytes can't be read.

/// A fault of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum JobError {
    /// It has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// It has more steps than the limit.
    #[error("{found} steps, {limit} at most")]
    TooManySteps {
        /// How many it has.
        found: usize,
        /// How many it may have.
        limit: usize,
    },
    /// A step has no tasks, or more than the limit.
    #[error("step {step} has {found} tasks, from 1 to {limit} are possible")]
    TaskCount {
        /// The step's number, from 0.
        step: usize,
        /// How many tasks it has.
        found: u32,
        /// How many it may have.
        limit: u32,
    },
    /// A step depends on itself, on a later step, or on one that is not there.
    #[error("step {step} depends on step {on}, which is no earlier step")]
    Dependency {
        /// The step's number, from 0.
        step: usize,
        /// The number that it names.
        on: u16,
    },
    /// The text for its tasks is longer than the limit.
    #[error("the task text has {found} bytes, {limit} at most")]
    SpecTooLong {
        /// Its length in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Its schedule has too many occurrences, or an interval of zero between several.
    #[error("the schedule has {count} occurrences every {interval_ms} ms; {limit} at most")]
    Schedule {
        /// How many occurrences.
        count: u32,
        /// The time between two, in milliseconds.
        interval_ms: u64,
        /// How many there may be.
        limit: u32,
    },
}

/// Bytes that are no stored value of the expected type.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CodecError {
    /// The bytes have another layout, or end early.
    #[error("the stored bytes can't be decoded: {0}")]
    Layout(#[from] bincode::error::DecodeError),
    /// The bytes were written by a newer version of this program.
    #[error("the stored bytes have format {0}, this program reads format {expected}", expected = crate::codec::FORMAT)]
    Format(u8),
    /// There are no bytes.
    #[error("the stored value is empty")]
    Empty,
}

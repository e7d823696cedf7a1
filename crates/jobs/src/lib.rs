//! Jobs made of dependent steps, and the progress of their tasks.
//!
//! A [`Job`] is what a client submits; it never changes. A [`Progress`] tracks the runs of its tasks:
//! it is a state machine over their starts and ends, and is what the scheduler stores. Neither does
//! I/O or reads a clock.
//!
//! # Example
//!
//! ```
//! use jobs::{End, EndKind, Incarnation, Job, JobId, Progress, State, Step, TaskKey};
//!
//! let id: JobId = "5c0e7a21d94b36f8".parse().unwrap();
//! let job = Job {
//!     steps: vec![Step { tasks: 1, ..Step::default() }],
//!     ..Job::default()
//! };
//! job.check().unwrap();
//! let mut progress = Progress::new(&job);
//! let key = TaskKey { job: id, occurrence: 0, step: 0, index: 0 };
//! let run = progress.assign(&[(key, Incarnation::new("w1", 7))]);
//! assert_eq!(progress.state(), State::Running);
//! let end = End { key, run, kind: EndKind::Done, checkpoint: String::new() };
//! progress.end(&job, &end, 3);
//! assert_eq!(progress.state(), State::Completed);
//! ```

mod codec;
mod crashes;
mod error;
mod id;
mod job;
mod progress;
mod queue;
mod schedule;
mod team;
pub mod trailing;

pub use crate::{
    codec::{decode, encode},
    crashes::Crash,
    error::{CodecError, JobError},
    id::{JobId, JobIdError, StepKey, TaskKey, TaskKeyError},
    job::{Job, Limits, Step},
    progress::{
        CountedCrash, End, EndKind, Incarnation, Outcome, Phase, Progress, State, TaskProgress,
    },
    queue::{ApprovalCost, Queue},
    schedule::Schedule,
    team::TeamPolicy,
};

//! What a [`Placer`](crate::Placer) is told, and what it answers.

use model::{RackId, Size, TaskId, UnitId, WorkerId};

use crate::Unplaceable;

/// A worker as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The worker.
    pub id: WorkerId,
    /// The rack it stands in.
    pub rack: RackId,
    /// All that it holds.
    pub size: Size,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ended well.
    Succeeded,
    /// It ended with a failure of its own.
    Failed,
    /// It could not be started on its worker.
    StartFailed,
    /// It was stopped with its progress saved.
    Checkpointed,
    /// It was stopped by a command.
    Stopped,
    /// Its worker is gone and its lease has lapsed.
    Lost,
    /// It surely never started.
    NotStarted,
}

impl TaskEnd {
    /// Whether the attempt failed by itself, as opposed to being ended from outside.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::StartFailed)
    }
}

/// What follows after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextState {
    /// The task is done.
    Done,
    /// The task waits for another attempt.
    Waiting,
    /// The task is given up.
    GivenUp {
        /// Why.
        reason: String,
    },
}

/// A task that is to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingTask {
    /// The task's number within its unit.
    pub index: u32,
    /// How many of its attempts have failed.
    pub failures: u32,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task. Its room is reserved.
    Start {
        /// The task.
        task: TaskId,
        /// Where it starts.
        worker: WorkerId,
        /// What is reserved for it.
        size: Size,
    },
    /// Stop a task that runs or is being started.
    Stop {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
    /// Save a task's progress and stop it. It waits for another attempt afterwards.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
    /// Limit a task that uses more processors than are reserved for it.
    Throttle {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
        /// The limit in thousandths of a processor.
        milli_processors: u64,
    },
    /// Tell the submitter why a unit can't run as things stand, or that it can again.
    Explain {
        /// The unit.
        unit: UnitId,
        /// Why it can't run; `None` once it can.
        reason: Option<Unplaceable>,
    },
}

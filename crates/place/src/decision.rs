//! The inputs and outputs of a [`Placer`](crate::Placer).

use model::{RackId, Size, TaskId, UnitId, WorkerId};

use crate::Unplaceable;

/// A worker as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The worker's id.
    pub id: WorkerId,
    /// The rack that the worker is in.
    pub rack: RackId,
    /// The worker's total capacity.
    pub size: Size,
}

/// How an attempt to run a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The attempt succeeded.
    Succeeded,
    /// The attempt ran and failed.
    Failed,
    /// The worker could not start the task.
    StartFailed,
    /// The task saved its progress and was stopped.
    Checkpointed,
    /// The task was stopped by a command.
    Stopped,
    /// The worker was lost and its lease has expired. The task may have run.
    Lost,
    /// The task is known never to have started.
    NotStarted,
}

impl TaskEnd {
    /// Returns whether the attempt itself failed, as opposed to being ended from outside.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::StartFailed)
    }
}

/// The state of a task after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextState {
    /// The task is done.
    Done,
    /// The task waits for another attempt.
    Waiting,
    /// The task failed for good and is not attempted again.
    GivenUp {
        /// Why the task is given up.
        reason: String,
    },
}

/// A task to put in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingTask {
    /// The task's number within its unit.
    pub index: u32,
    /// The number of its attempts that have failed.
    pub failures: u32,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task. The placer has already allocated its room.
    Start {
        /// The task.
        task: TaskId,
        /// The worker to start it on.
        worker: WorkerId,
        /// The size of its allocation.
        size: Size,
    },
    /// Stop a task that runs or is being started.
    Stop {
        /// The task.
        task: TaskId,
        /// The worker that it runs on.
        worker: WorkerId,
    },
    /// Save a task's progress and stop it. The task is queued for another attempt afterwards.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The worker that it runs on.
        worker: WorkerId,
    },
    /// Limit the processors of a task that uses more than its allocation.
    Throttle {
        /// The task.
        task: TaskId,
        /// The worker that it runs on.
        worker: WorkerId,
        /// The limit in thousandths of a processor.
        milli_processors: u64,
    },
    /// Tell the submitter why a unit cannot run on the current workers and quota, or that it can
    /// again.
    Explain {
        /// The unit.
        unit: UnitId,
        /// Why the unit cannot run; `None` once it can.
        reason: Option<Unplaceable>,
    },
}

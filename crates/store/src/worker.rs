//! Calls to workers. One call carries all commands for a worker and brings its whole task list back.

use model::{Attempt, Epoch, Size, TaskId, Time, Usage, WorkerId};
use serde::{Deserialize, Serialize};

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// The attempt, which the worker reports back.
    pub attempt: Attempt,
    /// What is reserved for the task.
    pub size: Size,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// The service whose requests the task serves; empty for other tasks.
    pub service: String,
    /// The latest point on the worker's clock at which the task may start. A command that was long
    /// on its way is thus never carried out under a later scheduler.
    pub start_by: Time,
    /// The point on the worker's clock at which the task's lease lapses, if it is not renewed.
    pub lease_until: Time,
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Starts a task. A worker starts an attempt that it has seen before no second time.
    Start(TaskStart),
    /// Renews the leases of all tasks that run on the worker; a lapsed lease stays lapsed.
    Renew {
        /// The point on the worker's clock at which their leases lapse, if not renewed again.
        lease_until: Time,
    },
    /// Saves a task's progress, then stops it.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
    },
    /// Limits a task to a share of its processors.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt to limit.
        attempt: Attempt,
        /// The limit in thousandths of a processor.
        milli_processors: u64,
    },
    /// Stops a task.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
    },
    /// Drops an ended attempt from the worker's list.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt to drop.
        attempt: Attempt,
    },
}

/// A call to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerCall {
    /// The worker.
    pub worker: WorkerId,
    /// The epoch of the scheduler that calls.
    pub epoch: Epoch,
    /// The worker's start that the caller knows; 0 for none. With another one the whole list is wanted.
    pub boot: u64,
    /// The newest change that the caller knows; 0 to get the whole list.
    pub since: u64,
    /// The commands, done in order. May be empty: the call then only reads.
    pub commands: Vec<Command>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended with a failure of its own.
    Failed,
    /// It could not be started on this worker.
    StartFailed,
    /// It was stopped by a command.
    Stopped,
    /// Its progress was saved and it was stopped.
    Checkpointed,
    /// Its lease lapsed and it was stopped.
    LeaseLapsed,
    /// The command came after its `start_by`: the attempt never started and never will.
    NotStarted,
}

/// One attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The epoch under which it was started.
    pub epoch: Epoch,
    /// How far it has come.
    pub phase: TaskPhase,
    /// What is reserved for it.
    pub size: Size,
    /// What it was last seen to use; lags.
    #[serde(default, skip_serializing_if = "is_default")]
    pub usage: Usage,
    /// Where a service's replica takes requests, such as `http://10.0.0.7:8080`; empty otherwise.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
    /// The point on the worker's clock at which its lease lapses, if it is not renewed.
    pub lease_until: Time,
}

/// A worker's answer: its task list after the commands were done, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's own clock when the report was made. It is compared with no other clock: a
    /// scheduler only adds spans to it.
    pub clock: Time,
    /// The highest epoch that has commanded this worker.
    pub highest_epoch: Epoch,
    /// The worker's start. A worker that starts anew knows nothing of its earlier tasks.
    pub boot: u64,
    /// The newest change of the list, to be named in the next call.
    pub newest: u64,
    /// Whether the list is whole. If not, it has the attempts that have changed since the change that the
    /// call named.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The attempts.
    pub tasks: Vec<TaskView>,
}

/// Whether a field need not be sent.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

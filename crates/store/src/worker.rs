//! Calls to workers. A call carries all commands for a worker and returns the worker's task list, or the
//! changes in it since an earlier call.

use model::{Attempt, Epoch, Size, TaskId, Time, Usage, WorkerId};
use serde::{Deserialize, Serialize};

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// The attempt. The worker includes it in its reports.
    pub attempt: Attempt,
    /// The resources allocated to the task.
    pub size: Size,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// The service whose requests the task serves, or empty for a task that serves none.
    pub service: String,
    /// The latest time on the worker's clock at which the task may start. It prevents a delayed command
    /// from being executed after another scheduler has taken over.
    pub start_by: Time,
    /// The time on the worker's clock at which the task's lease expires if it is not renewed.
    pub lease_until: Time,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Starts a task. Starting an attempt that the worker already knows has no effect.
    Start(TaskStart),
    /// Renews the leases of all tasks that run on the worker. An expired lease stays expired.
    Renew {
        /// The time on the worker's clock at which the leases expire if they are not renewed again.
        lease_until: Time,
    },
    /// Saves the progress of a task, then stops the task.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
    },
    /// Limits the processor time of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt to limit.
        attempt: Attempt,
        /// The limit, in thousandths of a processor.
        milli_processors: u64,
    },
    /// Stops a task.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
    },
    /// Removes an ended attempt from the worker's task list.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt to remove.
        attempt: Attempt,
    },
}

/// A call to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerCall {
    /// The worker.
    pub worker: WorkerId,
    /// The epoch of the calling scheduler.
    pub epoch: Epoch,
    /// The boot number of the worker that the caller knows, or 0 if it knows none. If the worker has
    /// another boot number, it returns its complete list.
    pub boot: u64,
    /// The number of the newest change that the caller knows, or 0 to request the complete list.
    pub since: u64,
    /// The commands, which are executed in order. If there are none, the call only reads the list.
    pub commands: Vec<Command>,
}

/// The state of an attempt on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TaskPhase {
    /// The attempt is running.
    Running,
    /// The attempt ended successfully.
    Succeeded,
    /// The task itself failed.
    Failed,
    /// The task could not be started on this worker.
    StartFailed,
    /// The attempt was stopped by [`Command::Stop`].
    Stopped,
    /// The progress was saved and the attempt stopped, by [`Command::Checkpoint`].
    Checkpointed,
    /// The attempt was stopped because its lease expired.
    LeaseLapsed,
    /// The start command arrived after its `start_by`. The attempt has not started and never will.
    NotStarted,
}

/// An attempt as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The epoch under which the attempt was started.
    pub epoch: Epoch,
    /// The state of the attempt.
    pub phase: TaskPhase,
    /// The resources allocated to the attempt.
    pub size: Size,
    /// The resources that the attempt used when last measured. Lags behind the actual usage.
    #[serde(default, skip_serializing_if = "is_default")]
    pub usage: Usage,
    /// The base URL at which a replica of a service accepts requests, such as `http://10.0.0.7:8080`.
    /// Empty for other tasks.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
    /// The time on the worker's clock at which the lease expires if it is not renewed.
    pub lease_until: Time,
}

/// A worker's response: its task list after the commands were executed, or the changes in that list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's own clock at the time of the report. It must not be compared with other clocks; a
    /// scheduler only adds durations to it.
    pub clock: Time,
    /// The highest epoch from which this worker has received a call.
    pub highest_epoch: Epoch,
    /// The worker's boot number. A restarted worker does not know its earlier tasks.
    pub boot: u64,
    /// The number of the newest change in the list, to be sent as `since` in the next call.
    pub newest: u64,
    /// Whether `tasks` is the complete list. Otherwise it holds the attempts that have changed since the
    /// change given in the call.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The attempts.
    pub tasks: Vec<TaskView>,
}

/// Returns whether a field has its default value and can be left out.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

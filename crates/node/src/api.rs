//! What operators ask of a node, and its answers. They travel as JSON over HTTP.

use model::{Attempt, Verdict, WorkerId};
use serde::{Deserialize, Serialize};

/// One operator file as it is sent to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileText {
    /// The path that faults name.
    pub path: String,
    /// The file's content.
    pub text: String,
}

/// A call by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReq {
    /// Puts operator files in force and submits their batches and jobs.
    Publish {
        /// Who publishes.
        author: String,
        /// The version of the configuration that the change is based on; `None` for the newest.
        base: Option<u64>,
        /// The files.
        files: Vec<FileText>,
    },
    /// Asks what became of units of work.
    Status {
        /// A unit's name; `None` for all.
        name: Option<String>,
    },
    /// Cancels a unit of work.
    Cancel {
        /// The unit's name.
        name: String,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorResp {
    /// It was done.
    Done {
        /// What was done, in a line.
        message: String,
        /// The version of the configuration that it made, or 0.
        version: u64,
    },
    /// The state of units of work.
    Status(Vec<UnitStatus>),
    /// It was not done, or may not have been.
    Failed {
        /// Whether it may have been done.
        verdict: Verdict,
        /// Why, and what to do next.
        message: String,
    },
}

/// The state of one unit of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitStatus {
    /// The unit's id.
    pub id: String,
    /// The unit's name in its operator file.
    pub name: String,
    /// The failure domain that places it.
    pub home: String,
    /// Whether it has been cancelled.
    pub cancelled: bool,
    /// Why none of its tasks can run, if that is so.
    pub reason: String,
    /// Its tasks in order.
    pub tasks: Vec<TaskState>,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It waits for a place.
    #[default]
    Waiting,
    /// It runs, or is being started.
    Running {
        /// Where.
        worker: WorkerId,
    },
    /// It ended well.
    Succeeded,
    /// It will not be tried again.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The state of one task, as it is kept in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// How far it has come.
    pub phase: TaskPhase,
    /// The newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// How many attempts have failed.
    pub failures: u32,
}

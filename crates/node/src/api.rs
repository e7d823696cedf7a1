//! The calls of operators to a node and its answers, which are sent as JSON over HTTP.

pub use config::{ChangeKind, ItemChange, RecallTarget};
use model::{Attempt, Catalog, DomainId, FileErrors, NodeId, SourceFile, Verdict, WorkerId};
use serde::{Deserialize, Serialize};

/// An operator file as it is sent to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FileText {
    /// The path that error messages name.
    pub path: String,
    /// The file's content.
    pub text: String,
}

/// Parses operator files as they are sent to a node.
///
/// # Errors
///
/// Returns all errors in all files.
pub fn parse_files(files: &[FileText]) -> Result<Catalog, FileErrors> {
    let sources: Vec<SourceFile<'_>> = files
        .iter()
        .map(|file| SourceFile {
            path: &file.path,
            text: &file.text,
        })
        .collect();
    Catalog::parse(&sources)
}

/// The caller, and the id by which a resend of the same call is recognised.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submitter {
    /// The id, chosen by the submitter and the same in each resend of one call. If it is empty, a
    /// resend counts as another call. A node remembers the newest 1,024 ids.
    #[serde(default)]
    pub id: String,
    /// The name of the caller.
    #[serde(default)]
    pub author: String,
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReq {
    /// Puts operator files in force and submits their batches and jobs.
    Publish {
        /// The caller.
        #[serde(default)]
        by: Submitter,
        /// The version of the configuration that the change is based on, or `None` for the newest.
        base: Option<u64>,
        /// The files.
        files: Vec<FileText>,
        /// Whether only to answer with [`OperatorResp::Changes`], without any change.
        #[serde(default)]
        dry_run: bool,
    },
    /// Asks for the state of units of work. Answered by [`OperatorResp::Status`].
    Status {
        /// A unit's name, or `None` for all units.
        name: Option<String>,
    },
    /// Cancels a unit of work.
    Cancel {
        /// The caller.
        #[serde(default)]
        by: Submitter,
        /// The unit's name.
        name: String,
    },
    /// Puts recalls in force, all in one version.
    Recall {
        /// The caller.
        #[serde(default)]
        by: Submitter,
        /// The targets of the recalls.
        targets: Vec<RecallTarget>,
    },
    /// Lifts the recalls of the given targets, all in one version. Other recalls stay in force.
    Lift {
        /// The caller.
        #[serde(default)]
        by: Submitter,
        /// The targets of the recalls that are lifted.
        targets: Vec<RecallTarget>,
    },
    /// Asks which recalls are in force. Answered by [`OperatorResp::Recalls`].
    Recalls,
    /// Asks which nodes have a version in force. Answered by [`OperatorResp::InForce`].
    InForce {
        /// The version.
        version: u64,
    },
    /// Shuts a node down without cutting off a request.
    Drain {
        /// The node.
        node: NodeId,
    },
    /// Moves the work of a failure domain to the others and places nothing new there.
    Evacuate {
        /// The caller.
        #[serde(default)]
        by: Submitter,
        /// The failure domain.
        domain: DomainId,
        /// Whether to end the evacuation instead, so that the domain takes work again.
        #[serde(default)]
        undo: bool,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorResp {
    /// The call succeeded.
    Done {
        /// A line that says what was done.
        message: String,
        /// The version of the configuration that the call made, or 0 if none.
        version: u64,
    },
    /// The state of units of work.
    Status(Vec<UnitStatus>),
    /// The changes that a publication would make.
    Changes {
        /// The newest version known to the node, to be given as the base of the publication.
        version: u64,
        /// The items that would change.
        changes: Vec<ItemChange>,
    },
    /// The recalls in force.
    Recalls(Vec<RecallView>),
    /// Which nodes have a version in force.
    InForce {
        /// The version asked for.
        version: u64,
        /// All known nodes.
        members: Vec<MemberVersion>,
    },
    /// The call failed, or its outcome is not known.
    Failed {
        /// Whether the call may have taken effect.
        verdict: Verdict,
        /// The reason and what to do next.
        message: String,
    },
}

/// A recall in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecallView {
    /// The target of the recall.
    pub target: RecallTarget,
    /// The operator who has made the recall.
    pub author: String,
    /// The version that put the recall in force.
    pub version: u64,
}

/// The version of the configuration that a node has in force, as another node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberVersion {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The version that it had when last heard of, or `None` if it was never heard of.
    pub version: Option<u64>,
    /// The time since it was last heard of, in milliseconds, or `None` if it was never heard of.
    pub age_ms: Option<u64>,
    /// Whether it has at least the version asked for.
    pub in_force: bool,
}

/// The state of one unit of work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnitStatus {
    /// The unit's id.
    pub id: String,
    /// The unit's name in its operator file.
    pub name: String,
    /// The failure domain that places it.
    pub home: String,
    /// Whether it has been cancelled.
    pub cancelled: bool,
    /// Why none of its tasks can run, or empty if they can.
    pub reason: String,
    /// Its tasks in order.
    pub tasks: Vec<TaskState>,
}

/// The phase of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task waits to be placed.
    #[default]
    Waiting,
    /// The task runs or is being started.
    Running {
        /// The worker on which it runs.
        worker: WorkerId,
    },
    /// The task has succeeded.
    Succeeded,
    /// The task has failed and will not be tried again.
    Failed,
    /// The task was cancelled.
    Cancelled,
}

/// The state of one task, as stored in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskState {
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The newest attempt, or 0 before the first.
    pub attempt: Attempt,
    /// The number of failed attempts that count against the task.
    pub failures: u32,
    /// A hash of the command and size of the newest attempt, or 0 if they are not known.
    pub content: u32,
}

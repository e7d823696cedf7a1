//! What operators ask of a node, and its answers. They travel as JSON over HTTP.

pub use config::{ChangeKind, ItemChange, RecallTarget};
use model::{Attempt, Catalog, DomainId, FileErrors, NodeId, SourceFile, Verdict, WorkerId};
use serde::{Deserialize, Serialize};

/// One operator file as it is sent to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FileText {
    /// The path that faults name.
    pub path: String,
    /// The file's content.
    pub text: String,
}

/// Reads operator files as they are sent to a node.
///
/// # Errors
///
/// Every fault of every file.
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

/// Who calls, and the id by which a resend of the same call is recognised.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submitter {
    /// Chosen by the submitter, and the same in each resend of one call. Without one (empty), a
    /// resend counts as another call. A node keeps the newest 1,024 ids.
    #[serde(default)]
    pub id: String,
    /// Who calls.
    #[serde(default)]
    pub author: String,
}

/// A call by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReq {
    /// Puts operator files in force and submits their batches and jobs.
    Publish {
        /// Who publishes.
        #[serde(default)]
        by: Submitter,
        /// The version of the configuration that the change is based on; `None` for the newest.
        base: Option<u64>,
        /// The files.
        files: Vec<FileText>,
        /// Whether to answer with [`OperatorResp::Changes`] only, and change nothing.
        #[serde(default)]
        dry_run: bool,
    },
    /// Asks what became of units of work.
    Status {
        /// A unit's name; `None` for all.
        name: Option<String>,
    },
    /// Cancels a unit of work.
    Cancel {
        /// Who cancels.
        #[serde(default)]
        by: Submitter,
        /// The unit's name.
        name: String,
    },
    /// Puts recalls in force, all in one version.
    Recall {
        /// Who recalls.
        #[serde(default)]
        by: Submitter,
        /// What is recalled.
        targets: Vec<RecallTarget>,
    },
    /// Lifts recalls, all in one version. Only what is named is lifted.
    Lift {
        /// Who lifts.
        #[serde(default)]
        by: Submitter,
        /// What is no longer recalled.
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
        /// Who evacuates.
        #[serde(default)]
        by: Submitter,
        /// The failure domain.
        domain: DomainId,
        /// Whether the domain takes work again instead.
        #[serde(default)]
        undo: bool,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
    /// What a publication would change.
    Changes {
        /// The newest version known to the node, to be named as the base of the publication.
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
    /// It was not done, or may not have been.
    Failed {
        /// Whether it may have been done.
        verdict: Verdict,
        /// Why, and what to do next.
        message: String,
    },
}

/// A recall in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecallView {
    /// What is recalled.
    pub target: RecallTarget,
    /// Who has recalled it.
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
    /// The version that it had when last heard; `None` if it was never heard.
    pub version: Option<u64>,
    /// Milliseconds since it was last heard; `None` if it was never heard.
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
    /// Why none of its tasks can run, if that is so.
    pub reason: String,
    /// Its tasks in order.
    pub tasks: Vec<TaskState>,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskState {
    /// How far it has come.
    pub phase: TaskPhase,
    /// The newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// How many attempts have failed.
    pub failures: u32,
    /// Names what the newest attempt was started with; 0 if that is not known.
    pub content: u32,
}

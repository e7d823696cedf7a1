//! Errors of changes, recall targets and entries.

use std::fmt;

use crate::RecallTarget;

/// A text that is not a valid recall target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is not `batch/NAME`, `worker/ID` or `setting/SERVICE@VERSION`")]
pub struct TargetError(pub String);

/// A committed change that conflicts with a refused change: both affect the same item, and the committed
/// change is newer than the base version of the refused one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The item that both changes affect.
    pub item: String,
    /// The keys that the committed change changed.
    pub keys: Vec<String>,
    /// The author of the committed change.
    pub author: String,
    /// The version that contains the committed change.
    pub version: u64,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` was changed by {} in version {} ({})",
            self.item,
            self.author,
            self.version,
            self.keys.join(", ")
        )
    }
}

/// Why a change is refused. No change of its submission is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChangeError {
    /// Other changes of the same items were committed after the base version.
    #[error("{}; this change is based on version {base}", list(conflicts))]
    Conflict {
        /// The other changes, in the order of the refused submission's items.
        conflicts: Vec<Conflict>,
        /// The version that the change is based on.
        base: u64,
    },
    /// The base version is newer than the newest version known here.
    #[error("version {base} is not known here; the newest known is {newest}")]
    UnknownBase {
        /// The version that the change is based on.
        base: u64,
        /// The newest version known here.
        newest: u64,
    },
    /// The base version is so old that the changes since then are no longer recorded completely.
    #[error("version {base} is too old to base a change on; the oldest is {oldest}")]
    OldBase {
        /// The version that the change is based on.
        base: u64,
        /// The oldest version that a change can be based on.
        oldest: u64,
    },
    /// The content to be published is recalled.
    #[error("`{item}` is recalled by {author} as {target} in version {version}; lift that first")]
    Recalled {
        /// The item that was to be published.
        item: String,
        /// The recall.
        target: RecallTarget,
        /// The author of the recall.
        author: String,
        /// The version that put the recall in force.
        version: u64,
    },
    /// The target does not exist or cannot be recalled.
    #[error("{target}: {reason}")]
    NoTarget {
        /// The target of the recall.
        target: RecallTarget,
        /// Why it cannot be recalled.
        reason: String,
    },
    /// The recall to be lifted is not in force.
    #[error("{target} is not recalled")]
    NotRecalled {
        /// The target of the recall to be lifted.
        target: RecallTarget,
    },
    /// There is no unit of work of this name.
    #[error("there is no unit `{name}`")]
    NoUnit {
        /// The name.
        name: String,
    },
    /// Another submission with the same id has been committed.
    #[error("the submission id `{id}` was used by another change in version {version}")]
    IdReused {
        /// The id.
        id: String,
        /// The version that contains the other submission.
        version: u64,
    },
}

fn list(conflicts: &[Conflict]) -> String {
    let texts: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// An entry that does not follow the current version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("entry {entry} does not follow version {version}")]
pub struct ApplyError {
    /// The entry's version.
    pub entry: u64,
    /// The current version.
    pub version: u64,
}

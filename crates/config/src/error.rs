//! Refusals of changes.

use std::fmt;

use crate::RecallTarget;

/// A text that names nothing that can be recalled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is not `batch/NAME`, `worker/ID` or `setting/SERVICE@VERSION`")]
pub struct TargetError(pub String);

/// Another change of an item that came first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The item that both change.
    pub item: String,
    /// The keys that the other change changed.
    pub keys: Vec<String>,
    /// Who made the other change.
    pub author: String,
    /// The version that the other change made.
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

/// A change that is refused. Nothing of its submission is made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChangeError {
    /// Other changes of the same items came first.
    #[error("{}; this change is based on version {base}", list(conflicts))]
    Conflict {
        /// The other changes, in the order of this change's items.
        conflicts: Vec<Conflict>,
        /// The version that the change is based on.
        base: u64,
    },
    /// The base is newer than any version known here.
    #[error("version {base} is not known here; the newest known is {newest}")]
    UnknownBase {
        /// The version that the change is based on.
        base: u64,
        /// The newest version known here.
        newest: u64,
    },
    /// The base is so old that it is not known any more what changed since.
    #[error("version {base} is too old to base a change on; the oldest is {oldest}")]
    OldBase {
        /// The version that the change is based on.
        base: u64,
        /// The oldest version that a change can be based on.
        oldest: u64,
    },
    /// The content is recalled.
    #[error("`{item}` is recalled by {author} as {target} in version {version}; lift that first")]
    Recalled {
        /// The item that was to be published.
        item: String,
        /// The recall.
        target: RecallTarget,
        /// Who has recalled it.
        author: String,
        /// The version that put the recall in force.
        version: u64,
    },
    /// There is nothing of this name to recall.
    #[error("{target}: {reason}")]
    NoTarget {
        /// What was to be recalled.
        target: RecallTarget,
        /// Why it can't be.
        reason: String,
    },
    /// The recall is not in force.
    #[error("{target} is not recalled")]
    NotRecalled {
        /// What was to be lifted.
        target: RecallTarget,
    },
    /// There is no unit of work of this name.
    #[error("there is no unit `{name}`")]
    NoUnit {
        /// The name.
        name: String,
    },
    /// Another submission has had the same id.
    #[error("the submission id `{id}` was used by another change in version {version}")]
    IdReused {
        /// The id.
        id: String,
        /// The version that the other submission made.
        version: u64,
    },
}

fn list(conflicts: &[Conflict]) -> String {
    let texts: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// An entry that does not follow the present version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("entry {entry} does not follow version {version}")]
pub struct ApplyError {
    /// The entry's version.
    pub entry: u64,
    /// The present version.
    pub version: u64,
}

//! Refusals of changes.

/// A text that names nothing that can be recalled.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not `batch/NAME`, `worker/ID` or `setting/SERVICE@VERSION`")]
pub struct TargetError(pub String);

/// A change that is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another change of the same item came first.
    #[error(
        "`{item}` was changed by {author} in version {version}, after the version {base} that this change is based on"
    )]
    Conflict {
        /// The item that both change.
        item: String,
        /// Who made the other change.
        author: String,
        /// The version that the other change made.
        version: u64,
        /// The version that this change is based on.
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
    /// The content is recalled.
    #[error("`{item}` is recalled; lift the recall first")]
    Recalled {
        /// The recalled item.
        item: String,
    },
}

/// An entry that does not follow the present version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {entry} does not follow version {version}")]
pub struct ApplyError {
    /// The entry's version.
    pub entry: u64,
    /// The present version.
    pub version: u64,
}

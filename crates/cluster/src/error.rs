//! Errors of calls to the platform.

use crate::Row;

/// An error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The other side refused the call.
    #[error("refused: {0}")]
    Refused(String),
    /// There was no answer, or it could not be decoded.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// An error of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CommitError {
    /// A row had a different version than expected. Nothing was stored.
    #[error("a row has changed")]
    Conflict {
        /// The rows of the condition in their current state.
        current: Vec<Row>,
    },
    /// Nothing was stored.
    #[error("not stored: {0}")]
    NotStored(String),
    /// The transaction may have been stored, or may be stored later.
    #[error("may be stored: {0}")]
    Unknown(String),
}

/// An error of reading changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FeedError {
    /// The changes after the given version are no longer kept. The caller must read the whole state again.
    #[error("the history after this version is no longer kept")]
    HistoryGone,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// An error of a request to the approval service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AskError {
    /// Too many requests are already waiting.
    #[error("too many requests are waiting")]
    Busy,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

//! Why calls to the platform fail.

use crate::Row;

/// Why a read brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The other side has refused the call.
    #[error("refused: {0}")]
    Refused(String),
    /// There was no answer, or none that can be read.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Why a transaction is not known to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CommitError {
    /// A row had another version than expected. Nothing was stored.
    #[error("a row has changed")]
    Conflict {
        /// The rows of the condition as they are.
        current: Vec<Row>,
    },
    /// Nothing was stored.
    #[error("not stored: {0}")]
    NotStored(String),
    /// It may have been stored, or may be stored later.
    #[error("may be stored: {0}")]
    Unknown(String),
}

/// Why changes can't be told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FeedError {
    /// The changes from there on are not kept any more. The whole has to be read anew.
    #[error("the history from there on is gone")]
    HistoryGone,
    /// The call has failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Why there is no answer about approvals.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AskError {
    /// Too many requests wait.
    #[error("too many requests wait")]
    Busy,
    /// The call has failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

//! Errors of links.

use model::Verdict;

/// A request to another node that did not return an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// No connection or stream could be opened, so nothing was sent.
    #[error("the node cannot be reached: {0}")]
    Unreachable(String),
    /// The request was refused before it was processed.
    #[error("the node refused the request: {0}")]
    Refused(String),
    /// The connection failed, or a timeout expired, after the request may have been sent.
    #[error("the node's answer was lost: {0}")]
    Lost(String),
}

impl LinkError {
    /// Returns whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

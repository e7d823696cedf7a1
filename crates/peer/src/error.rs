//! Failures of links.

use model::Verdict;

/// A request to another node that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// No connection could be made: nothing was sent.
    #[error("the node cannot be reached: {0}")]
    Unreachable(String),
    /// The other node refused the stream before it looked at the request.
    #[error("the node refused the request: {0}")]
    Refused(String),
    /// The connection failed, or was silent for too long, after the request was sent.
    #[error("the node's answer was lost: {0}")]
    Lost(String),
}

impl LinkError {
    /// Whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

//! Failures of calls to the platform.

use model::Verdict;
use serde::{Deserialize, Serialize};

/// A call to the platform that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the platform: nothing was done.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The platform refused the call: nothing was done.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No answer came: the call may have been done.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

impl StoreError {
    /// Whether the call may have been done.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

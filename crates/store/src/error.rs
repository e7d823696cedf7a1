//! Errors of calls to the platform.

use model::Verdict;
use serde::{Deserialize, Serialize};

/// A call to the platform that did not return a response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the platform, so it had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The platform refused the call, so it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No valid response was received, so the call may have been executed.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

impl StoreError {
    /// Returns whether the call may have been executed.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

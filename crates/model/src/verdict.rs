//! The verdict on whether a request has run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request, a task start or a write may have run. Every answer and every error includes a
/// verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It has not run and will never run as part of this request.
    NotRun,
    /// It is not known whether it has run.
    MayHaveRun,
    /// It has run to completion.
    Ran,
}

impl Verdict {
    /// Returns the verdict as written in the `Lacewing-Verdict` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

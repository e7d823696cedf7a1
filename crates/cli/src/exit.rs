//! The exit codes of the program.

use std::process::ExitCode;

use model::Verdict;

/// The outcome of a command. The values are the exit codes that the help lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Uncertain = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<Verdict> for Exit {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::MayHaveRun => Self::Uncertain,
            Verdict::NotRun | Verdict::Ran => Self::Failed,
        }
    }
}

/// Prints the reason of a failure on standard error and returns the exit code.
pub(crate) fn failed(message: impl std::fmt::Display, exit: impl Into<Exit>) -> Exit {
    eprintln!("lacewing: {message}");
    exit.into()
}

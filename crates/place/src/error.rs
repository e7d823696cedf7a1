//! Reasons why a unit cannot be placed.

use model::Size;

/// Why a unit can never run with the current workers, teams and quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Unplaceable {
    /// No worker of the failure domain is large enough for one of its tasks.
    #[error("no worker holds a task of {0}")]
    TooLarge(Size),
    /// Its tasks must start together, and all workers together are too small for them.
    #[error("the workers together do not hold {tasks} tasks of {size} at a time")]
    TooManyTogether {
        /// The number of tasks that start together.
        tasks: u32,
        /// The size of each task.
        size: Size,
    },
    /// Its team is unknown.
    #[error("the team `{0}` is not known")]
    NoTeam(String),
    /// The tasks that must run at once need more than its team's quota.
    #[error("it needs {0} at a time, more than the quota of its team")]
    OverQuota(Size),
}

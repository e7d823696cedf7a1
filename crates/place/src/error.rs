//! Why work can't be placed.

use model::Size;

/// A unit that can never run as things stand.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Unplaceable {
    /// No worker of the domain holds one of its tasks.
    #[error("no worker holds a task of {0}")]
    TooLarge(Size),
    /// Its tasks start together, and all workers together don't hold them.
    #[error("the workers together do not hold {tasks} tasks of {size} at a time")]
    TooManyTogether {
        /// How many tasks start together.
        tasks: u32,
        /// What each needs.
        size: Size,
    },
    /// Its team is not known.
    #[error("the team `{0}` is not known")]
    NoTeam(String),
    /// It needs more at a time than its team's quota.
    #[error("it needs {0} at a time, more than the quota of its team")]
    OverQuota(Size),
}

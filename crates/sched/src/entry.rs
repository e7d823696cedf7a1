//! A job in the scheduler's memory.

use std::sync::Arc;

use jobs::{Job, Progress, State};
use model::Time;

use crate::teams::TeamId;

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) job: Arc<Job>,
    pub(crate) progress: Progress,
    /// Its team, if that is configured.
    pub(crate) team: TeamId,
    /// Whether it was accepted beyond its team's rate.
    pub(crate) is_surplus: bool,
    /// Whether a worker is known to have begun one of its tasks.
    pub(crate) has_begun: bool,
    /// When a node accepted the job from its client.
    pub(crate) accepted_at: Time,
    /// The state that was last published, or is to be once it is stored.
    pub(crate) published: Option<State>,
    /// The state that was last published. It is stored.
    pub(crate) stored: Option<State>,
    /// When the job ended.
    pub(crate) ended_at: Option<Time>,
}

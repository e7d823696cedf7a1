//! A job as the scheduler holds it.

use std::sync::Arc;

use jobs::{Job, Progress, State};
use model::Time;

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) job: Arc<Job>,
    pub(crate) progress: Progress,
    /// Whether a worker is known to have begun one of its tasks.
    pub(crate) has_begun: bool,
    /// When it was taken in.
    pub(crate) accepted_at: Time,
    /// The state that clients' nodes were told of, or will be once it is stored.
    pub(crate) published: Option<State>,
    /// Since when it is over.
    pub(crate) over_since: Option<Time>,
}

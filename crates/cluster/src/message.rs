//! Messages between the scheduler and the other nodes.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{JobId, State, StepKey};
use serde::{Deserialize, Serialize};

/// A message on a link. A node opens the link to the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    /// The first message of a node.
    Hello {
        /// The node's name.
        node: Arc<str>,
    },
    /// From a node: it is alive.
    Ping,
    /// From a node: an answer about approvals.
    Approved {
        /// The step.
        step: StepKey,
        /// The workers that were asked about.
        asked: Vec<Arc<str>>,
        /// Those of them that are allowed, with their tickets.
        allowed: Vec<(Arc<str>, Arc<str>)>,
        /// How long the tickets hold, in milliseconds.
        valid_ms: u64,
    },
    /// From a node: there is no answer about approvals.
    NotApproved {
        /// The step.
        step: StepKey,
    },
    /// From the scheduler: it is alive.
    Beat {
        /// How long ago its last stored transaction was sent, in milliseconds.
        table_age_ms: u64,
    },
    /// From a node that does not schedule, or not any more.
    NotScheduler,
    /// From the scheduler: states of jobs that have changed.
    States(Vec<(JobId, State)>),
    /// From the scheduler: how many jobs of each queue have not started.
    Pending(BTreeMap<String, u64>),
    /// From the scheduler: the workers that take work, by pool.
    Workers(BTreeMap<String, Vec<Arc<str>>>),
    /// From the scheduler: the node is to ask which workers may run a step.
    Ask {
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<Arc<str>>,
        /// How long the answer is expected to take, in milliseconds.
        cost_ms: u64,
    },
}

//! Messages between the scheduler and the other nodes.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{JobId, State, StepKey};
use sched::LeaseRow;
use serde::{Deserialize, Serialize};

/// A message on a link. A node opens the link to the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    /// The first message of a node.
    Hello {
        /// The node's name.
        node: Arc<str>,
        /// Where it takes links.
        address: String,
    },
    /// The first message of a node that only asks who schedules.
    Who,
    /// From the scheduler: it is the one that was asked for.
    Scheduler(LeaseRow),
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
    /// From a node that does not reach the table: the scheduler is to do something for it.
    Relay {
        /// Numbers the requests of the node.
        number: u64,
        /// What to do.
        request: RelayRequest,
    },
    /// Answers [`Message::Relay`].
    Relayed {
        /// The number of the request.
        number: u64,
        /// What has become of it.
        reply: RelayReply,
    },
    /// From the scheduler: it is alive.
    Beat {
        /// How long ago its last stored transaction was sent, in milliseconds.
        table_age_ms: u64,
        /// Whether the table fails it at present.
        is_table_lost: bool,
    },
    /// From a node that does not schedule, or not any more, with what it knows of who does.
    NotScheduler(Option<LeaseRow>),
    /// From a node that has taken over, and reads what it goes on from.
    Recovering {
        /// How long ago its last stored transaction was sent, in milliseconds.
        table_age_ms: u64,
    },
    /// From the scheduler: where the other nodes are reached, so that one that does not reach the table
    /// can ask them who schedules.
    Nodes(Vec<String>),
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

/// What a node that does not reach the table has the scheduler do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum RelayRequest {
    /// Store a job, as it is encoded for the table.
    Submit(JobId, Vec<u8>),
    /// Store a cancelling.
    Cancel(JobId),
    /// Read a job's state.
    State(JobId),
}

/// What has become of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum RelayReply {
    /// It is stored.
    Stored,
    /// It was stored before.
    StoredBefore,
    /// It was not stored and never will be on account of this request.
    NotStored,
    /// Nothing is known.
    Unknown,
    /// There is no such job.
    NoJob,
    /// The job's state.
    State(State),
}

//! What workers, backend servers, callers and operators saw. The promises are judged from it alone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::Run;
use model::{DomainId, Incarnation, NodeId, Size, Time, Verdict, WorkerId};

/// One sending of a caller's request. A resend is another try with the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When.
    pub at: Time,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The try whose execution made the answer's body, if there is a body.
    pub body_of: Option<TryId>,
    /// Whether the body came to its end.
    pub is_complete: bool,
    /// Why, where it is a refusal.
    pub reason: String,
}

/// One sending of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The try.
    pub id: TryId,
    /// The service.
    pub service: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The node that it was sent to.
    pub node: NodeId,
    /// When it was sent.
    pub sent: Time,
    /// When the caller gives up on it.
    pub gives_up_at: Time,
    /// Whether the connection was lost before an answer came.
    pub is_lost: bool,
    /// The answers; the caller wants just one.
    pub answers: Vec<Answer>,
}

/// A request that a backend server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The backend server's worker.
    pub worker: WorkerId,
    /// The try that was run.
    pub try_id: TryId,
    /// The service.
    pub service: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// When it began.
    pub began: Time,
}

/// What a worker holds and the most that it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerPeak {
    /// The worker.
    pub worker: WorkerId,
    /// All that it holds.
    pub size: Size,
    /// The most that it was given at a time.
    pub peak: Size,
    /// The most requests that were open at a time.
    pub requests: u32,
}

/// A version of the configuration that a node had in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionObservation {
    /// When.
    pub at: Time,
    /// The node.
    pub node: NodeId,
    /// The node's start.
    pub incarnation: Incarnation,
    /// The version.
    pub version: u64,
    /// Whether the node serves.
    pub is_ready: bool,
}

/// A span of time in which a part of the cell could not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// The node; `None` for all nodes of the domain.
    pub node: Option<NodeId>,
    /// The failure domain; `None` for all domains.
    pub domain: Option<DomainId>,
    /// When it began.
    pub from: Time,
    /// When it ended.
    pub until: Time,
}

/// A worker that the platform's list showed as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// When the list showed it.
    pub listed_at: Time,
}

/// All that was seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The workers.
    pub workers: Vec<WorkerPeak>,
    /// What workers ran.
    pub runs: Vec<Run>,
    /// The names of units and services that must not run twice.
    pub at_most_once: BTreeSet<String>,
    /// The failure domain of each node.
    pub nodes: BTreeMap<NodeId, DomainId>,
    /// What callers sent and were told.
    pub tries: Vec<Try>,
    /// What backend servers ran.
    pub executions: Vec<Execution>,
    /// The versions that nodes had in force.
    pub versions: Vec<VersionObservation>,
    /// The versions that operators were told are accepted, and when.
    pub accepted_versions: Vec<(Time, u64)>,
    /// The workers that were to leave.
    pub leaving: Vec<Leaving>,
    /// The requests that a graceful shutdown cut off.
    pub cut_off: Vec<(NodeId, TryId)>,
    /// Spans in which parts of the cell could not act.
    pub disturbances: Vec<Disturbance>,
    /// The end of the records.
    pub end: Time,
}

impl Records {
    /// Whether something kept a node from acting at some point of a span, or up to `settle` before it.
    #[must_use]
    pub fn is_disturbed(
        &self,
        node: Option<NodeId>,
        domain: DomainId,
        span: (Time, Time),
        settle: Duration,
    ) -> bool {
        self.disturbances.iter().any(|d| {
            let here = d.domain.is_none_or(|other| other == domain)
                && (d.node.is_none() || node.is_none() || d.node == node);
            here && d.from <= span.1 && span.0 <= d.until + settle
        })
    }
}

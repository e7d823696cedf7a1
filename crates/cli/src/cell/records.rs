//! The externally visible behaviour of a cell, as recorded by workers, backend servers, callers and operators.
//!
//! The checks in `promises` use only these records.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::Run;
use model::{DomainId, Incarnation, NodeId, Size, Time, Verdict, WorkerId};

/// The id of a [`Try`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// An answer that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the answer arrived.
    pub at: Time,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The try whose execution produced the answer's body, if the answer has a body.
    pub body_of: Option<TryId>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
    /// The reason of a refusal; empty otherwise.
    pub reason: String,
}

/// One transmission of a caller's request, as the caller saw it. A resend is another try with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The id of the try.
    pub id: TryId,
    /// The name of the service.
    pub service: String,
    /// The idempotency key, if the request must not be repeated.
    pub key: Option<String>,
    /// The node to which the request was sent.
    pub node: NodeId,
    /// When the request was sent.
    pub sent: Time,
    /// When the caller stops waiting for an answer.
    pub gives_up_at: Time,
    /// Whether the connection broke before an answer arrived.
    pub is_lost: bool,
    /// The answers. More than one breaks a promise.
    pub answers: Vec<Answer>,
}

/// The execution of a request by a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The worker of the backend server.
    pub worker: WorkerId,
    /// The try that was run.
    pub try_id: TryId,
    /// The name of the service.
    pub service: String,
    /// The idempotency key, if the request must not be repeated.
    pub key: Option<String>,
    /// When the execution began.
    pub began: Time,
}

/// The capacity of a worker and its peak load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerPeak {
    /// The worker.
    pub worker: WorkerId,
    /// The capacity of the worker.
    pub size: Size,
    /// The largest total size of the tasks that ran at the same time.
    pub peak: Size,
    /// The largest number of requests that were open at the same time.
    pub requests: u32,
}

/// The version of the configuration that a node had in force at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionObservation {
    /// When the version was observed.
    pub at: Time,
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The version.
    pub version: u64,
    /// Whether the node was ready to serve.
    pub is_ready: bool,
}

/// A span of time in which a fault kept a part of the cell from acting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// The affected node, or `None` for all nodes of the domain.
    pub node: Option<NodeId>,
    /// The affected failure domain, or `None` for all domains.
    pub domain: Option<DomainId>,
    /// The start of the span.
    pub from: Time,
    /// The end of the span.
    pub until: Time,
}

/// A worker that the platform's VM list showed as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The worker.
    pub worker: WorkerId,
    /// The failure domain of the worker.
    pub domain: DomainId,
    /// When the list first showed the worker as leaving.
    pub listed_at: Time,
}

/// The externally visible behaviour of a cell.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The peak load of each worker.
    pub workers: Vec<WorkerPeak>,
    /// The runs of tasks on the workers.
    pub runs: Vec<Run>,
    /// The names of units and services whose tasks or requests must not run more than once.
    pub at_most_once: BTreeSet<String>,
    /// The failure domain of each node.
    pub nodes: BTreeMap<NodeId, DomainId>,
    /// The requests of callers and their answers.
    pub tries: Vec<Try>,
    /// The executions of requests by backend servers.
    pub executions: Vec<Execution>,
    /// The versions of the configuration that nodes had in force, in the order of time.
    pub versions: Vec<VersionObservation>,
    /// The versions whose acceptance was reported to an operator, with the time of the report.
    pub accepted_versions: Vec<(Time, u64)>,
    /// The workers that the platform announced to remove.
    pub leaving: Vec<Leaving>,
    /// The requests that a graceful shutdown cut off, with the node.
    pub cut_off: Vec<(NodeId, TryId)>,
    /// The spans of time in which faults kept parts of the cell from acting.
    pub disturbances: Vec<Disturbance>,
    /// The time up to which the records extend.
    pub end: Time,
}

impl Records {
    /// Returns whether a disturbance affected a node, or any node of the domain if `node` is `None`, during `span` or
    /// up to `settle` before it.
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

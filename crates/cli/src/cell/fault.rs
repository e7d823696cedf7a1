//! The faults that can be injected into a cell.

use std::{fmt, time::Duration};

use model::{DomainId, NodeId, RackId, WorkerId};

/// A fault, or an operation of the platform such as the removal of a worker. Durations are in virtual time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The node's process crashes. Its VM is replaced after 3 s.
    Crash(NodeId),
    /// The node's process crashes and is not replaced.
    Kill(NodeId),
    /// The node's process is paused. Events that arrive meanwhile are delivered together when it resumes.
    Pause(NodeId, Duration),
    /// The node's process is asked to shut down, and is replaced after it has exited.
    Shutdown(NodeId),
    /// The worker's VM fails permanently.
    WorkerDies(WorkerId),
    /// The worker's VM fails and is back without any tasks after 8 s.
    WorkerRestarts(WorkerId),
    /// The worker's VM, which failed before, is back without any tasks.
    WorkerBack(WorkerId),
    /// The worker's VM is paused.
    WorkerPauses(WorkerId, Duration),
    /// All tasks that are started on the worker from now on fail.
    WorkerFailsAll(WorkerId),
    /// The platform announces that it will remove the worker. The VM list shows it after a lag.
    WorkerLeaves(WorkerId),
    /// All workers of a rack fail permanently.
    RackDies(RackId),
    /// The domain's nodes cannot reach the table, the object store or the VM list.
    CutFromPlatform(DomainId, Duration),
    /// The domain's nodes cannot reach the nodes of other domains.
    CutFromPeers(DomainId, Duration),
    /// The nodes of two domains cannot reach each other.
    CutBetween(DomainId, DomainId, Duration),
    /// No node can reach the table or the object store.
    TableDown(Duration),
    /// Each call to the table takes one second longer.
    TableSlow(Duration),
    /// The table executes calls, but its replies are lost.
    TableRepliesLost(Duration),
    /// The open connection between two nodes drops all messages in both directions without an error.
    LinkSilent(NodeId, NodeId),
    /// The open connections to a backend server drop all requests without an error.
    BackendSilent(WorkerId, Duration),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |span: &Duration| format!("{}.{:03}s", span.as_secs(), span.subsec_millis());
        match self {
            Self::Crash(node) => write!(f, "{node} crashes"),
            Self::Kill(node) => write!(f, "{node} dies for good"),
            Self::Pause(node, span) => write!(f, "{node} is paused for {}", s(span)),
            Self::Shutdown(node) => write!(f, "{node} is asked to shut down"),
            Self::WorkerDies(worker) => write!(f, "{worker} dies for good"),
            Self::WorkerRestarts(worker) => write!(f, "{worker} restarts"),
            Self::WorkerBack(worker) => write!(f, "{worker} is back"),
            Self::WorkerPauses(worker, span) => write!(f, "{worker} is paused for {}", s(span)),
            Self::WorkerFailsAll(worker) => write!(f, "{worker} fails all it starts"),
            Self::WorkerLeaves(worker) => write!(f, "{worker} is to leave"),
            Self::RackDies(rack) => write!(f, "rack {rack} dies for good"),
            Self::CutFromPlatform(domain, span) => {
                write!(f, "{domain} is cut off from the platform for {}", s(span))
            }
            Self::CutFromPeers(domain, span) => {
                write!(f, "{domain} is cut off from its peers for {}", s(span))
            }
            Self::CutBetween(a, b, span) => {
                write!(f, "{a} and {b} are cut off from each other for {}", s(span))
            }
            Self::TableDown(span) => write!(f, "the table is down for {}", s(span)),
            Self::TableSlow(span) => write!(f, "the table is slow for {}", s(span)),
            Self::TableRepliesLost(span) => {
                write!(f, "the table's replies are lost for {}", s(span))
            }
            Self::LinkSilent(a, b) => write!(f, "the connection of {a} and {b} goes silent"),
            Self::BackendSilent(worker, span) => {
                write!(f, "connections to {worker} are silent for {}", s(span))
            }
        }
    }
}

//! Faults that a test or a seed schedules.

use std::{fmt, time::Duration};

use model::{DomainId, NodeId, RackId, WorkerId};

/// A fault, or an operation by the platform, at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies, and its VM is replaced a few seconds later.
    Crash(NodeId),
    /// The process dies for good.
    Kill(NodeId),
    /// The process stands still; what it missed then reaches it all at once.
    Pause(NodeId, Duration),
    /// The process is asked to shut down, and is replaced once it has exited.
    Shutdown(NodeId),
    /// The worker's VM dies for good.
    WorkerDies(WorkerId),
    /// The worker's VM dies and comes back empty a few seconds later.
    WorkerRestarts(WorkerId),
    /// The worker's VM that died is back, and empty.
    WorkerBack(WorkerId),
    /// The worker's VM stands still.
    WorkerPauses(WorkerId, Duration),
    /// Everything that is started on the worker fails from now on.
    WorkerFailsAll(WorkerId),
    /// The platform is about to take the worker away; its list says so with a lag.
    WorkerLeaves(WorkerId),
    /// All workers of a rack die for good.
    RackDies(RackId),
    /// The domain's nodes reach neither table nor VM list.
    CutFromPlatform(DomainId, Duration),
    /// The domain's nodes reach no node of another domain.
    CutFromPeers(DomainId, Duration),
    /// The nodes of two domains do not reach each other.
    CutBetween(DomainId, DomainId, Duration),
    /// Nobody reaches the table.
    TableDown(Duration),
    /// Each call to the table takes a second longer.
    TableSlow(Duration),
    /// The table does what it is asked, but its replies are lost.
    TableRepliesLost(Duration),
    /// The open connection between two nodes has gone silent in both directions.
    LinkSilent(NodeId, NodeId),
    /// The open connections to a backend server have gone silent.
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

//! What happens to a node, and what it wants done.

use std::time::Duration;

use model::{NodeId, Verdict, WorkerId};
use peer::PeerMsg;
use route::{Outcome, ReqId};
use store::{
    ObjectReq, ObjectResp, StoreError, TableReq, TableResp, VmInfo, WorkerCall, WorkerReport,
};

use crate::api::{OperatorReq, OperatorResp};

/// A call to the platform, numbered by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An operator's call, numbered by the HTTP face.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorId(pub u64);

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The answer to [`Action::Table`].
    Table(CallId, Result<TableResp, StoreError>),
    /// The answer to [`Action::Object`].
    Object(CallId, Result<ObjectResp, StoreError>),
    /// The answer to [`Action::Vms`].
    Vms(Result<Vec<VmInfo>, StoreError>),
    /// The answer to [`Action::Worker`].
    Worker(CallId, WorkerId, Result<WorkerReport, StoreError>),
    /// An operator's call.
    Operator(OperatorId, OperatorReq),
    /// A message from another node.
    Peer(NodeId, PeerMsg),
    /// A message was not acknowledged by the node it was sent to: it may or may not have arrived.
    PeerFailed(NodeId, PeerMsg),
    /// A caller's request.
    Request {
        /// The request.
        req: ReqId,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: Option<String>,
        /// Whether another node has passed it on.
        forwarded: bool,
    },
    /// What became of a dispatched or forwarded request.
    Finished(ReqId, Outcome),
    /// The process was asked to shut down.
    Shutdown,
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the table.
    Table(CallId, TableReq),
    /// Call the object store.
    Object(CallId, ObjectReq),
    /// Read the VM list.
    Vms,
    /// Call a worker.
    Worker(CallId, WorkerCall),
    /// Answer an operator.
    Operator(OperatorId, OperatorResp),
    /// Send a message to another node.
    Peer {
        /// The other node.
        to: NodeId,
        /// Whether the message goes on a fresh connection, whose failure tells that nothing answers.
        fresh: bool,
        /// The message.
        msg: PeerMsg,
    },
    /// Send a request to a backend server.
    Dispatch {
        /// The request.
        req: ReqId,
        /// The backend server.
        worker: WorkerId,
        /// Where it takes requests.
        endpoint: String,
        /// How long it may take.
        timeout: Duration,
    },
    /// Pass a request to another node.
    Forward {
        /// The request.
        req: ReqId,
        /// The other node.
        node: NodeId,
        /// How long it may take.
        timeout: Duration,
    },
    /// Answer a caller with a refusal or an error, at once.
    Refuse {
        /// The request.
        req: ReqId,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: &'static str,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
    /// The shutdown is complete: the process may exit.
    Exit,
}

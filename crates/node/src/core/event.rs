//! The events that a node handles and the actions that it returns.

use model::{NodeId, WorkerId};
use peer::PeerMsg;
use route::{AttemptEnd, Dispatch, Forward, IncomingRequest, Refusal, ReqId, StoredAnswer};
use store::{
    ObjectReq, ObjectResp, StoreError, TableReq, TableResp, VmInfo, WorkerCall, WorkerReport,
};

use crate::api::{OperatorReq, OperatorResp};

/// The number of a call to the platform, assigned by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The number of an operator's call, assigned by the HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// An input of a node.
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
    Operator(OperatorCallId, OperatorReq),
    /// A message from another node.
    Peer(NodeId, PeerMsg),
    /// A message that was not acknowledged by the node it was sent to. It may or may not have arrived.
    PeerFailed(NodeId, PeerMsg),
    /// A caller's request.
    Request(IncomingRequest),
    /// The end of an attempt at a backend server or another node.
    AttemptFinished(AttemptEnd),
    /// The process was asked to shut down.
    Shutdown,
}

/// An output of a node, to be carried out by its driver.
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
    Operator(OperatorCallId, OperatorResp),
    /// Send a message to another node.
    Peer {
        /// The other node.
        to: NodeId,
        /// Whether the message must be sent on a new connection, so that a failure shows whether the
        /// other node can be reached now.
        needs_new_connection: bool,
        /// The message.
        msg: PeerMsg,
    },
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Forward a request to another node.
    Forward(Forward),
    /// Answer a caller with the stored answer to an earlier request with the same key.
    Answer(ReqId, StoredAnswer),
    /// Answer a caller with a refusal or an error, at once.
    Refuse(Refusal),
    /// The shutdown is complete: the process may exit.
    Exit,
}

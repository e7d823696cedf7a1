//! Inputs and outputs of the lease machine.

use model::{Epoch, NodeId};

use crate::{Holder, LeaseMsg, LeaseRow, QuestionId, RowState, WriteResult};

/// An event that the machine processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed. Must be given several times within each
    /// [`pause_limit`](crate::LeaseConfig::pause_limit).
    Tick,
    /// The known members of the domain. The list may include this node.
    ///
    /// The machine does not claim the lease before the first of these inputs. The list must name
    /// every node that may hold the lease: a node registers in the table first and reads the members
    /// after that, so that of two nodes that start concurrently at least one knows the other.
    Members(Vec<Holder>),
    /// The answer to [`Output::ReadRow`].
    RowRead {
        /// The id of the call that is answered.
        call: u64,
        /// What was read.
        state: RowState,
    },
    /// The answer to [`Output::WriteRow`].
    RowWritten {
        /// The id of the call that is answered.
        call: u64,
        /// The outcome of the write.
        result: WriteResult,
    },
    /// A message from another node of the domain.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        msg: LeaseMsg,
    },
    /// A request was not answered: the fresh connection failed, or
    /// [`ask_timeout`](crate::LeaseConfig::ask_timeout) has passed since the request was sent.
    PeerFailed {
        /// The member that was asked.
        to: NodeId,
        /// The request, as returned by [`LeaseMsg::question`].
        question: QuestionId,
    },
    /// A worker has reported an epoch. A holder of a lower epoch stops immediately.
    EpochSeen(Epoch),
    /// The node shuts down and releases the lease.
    HandOver,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Read the row.
    ReadRow {
        /// The id of the call; returned with the answer.
        call: u64,
    },
    /// Write the row if it still has the expected version.
    WriteRow {
        /// The id of the call; returned with the answer.
        call: u64,
        /// The version that the row must have; `None` if the row must not exist.
        expected: Option<u64>,
        /// The row's new content.
        row: LeaseRow,
    },
    /// Send a message to another node of the domain, on a fresh connection.
    Send {
        /// The receiver.
        to: NodeId,
        /// The receiver's address.
        address: String,
        /// The message.
        msg: LeaseMsg,
    },
    /// This node has become the domain's scheduler, under this epoch.
    Activated(Epoch),
    /// This node is no longer the domain's scheduler. The epoch is the one that it held.
    Stopped(Epoch),
}

//! What goes into the machine and what comes out of it.

use model::{Epoch, NodeId};

use crate::{Holder, LeaseMsg, LeaseRow, QuestionId, RowState, WriteResult};

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed. To be given several times within
    /// [`pause_limit`](crate::LeaseConfig::pause_limit).
    Tick,
    /// The known members of the domain, this node or not among them.
    ///
    /// Nothing is claimed before the first of these inputs. It must name every node that may hold
    /// the lease: a node registers in the table first and reads the members after that, so of two
    /// nodes that start at once at least one knows the other.
    Members(Vec<Holder>),
    /// The answer to [`Output::ReadRow`].
    RowRead {
        /// The call that it answers.
        call: u64,
        /// What was read.
        state: RowState,
    },
    /// The answer to [`Output::WriteRow`].
    RowWritten {
        /// The call that it answers.
        call: u64,
        /// What became of the write.
        result: WriteResult,
    },
    /// A message from another node of the domain.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        msg: LeaseMsg,
    },
    /// A question brought no answer: the fresh connection failed, or
    /// [`ask_timeout`](crate::LeaseConfig::ask_timeout) has passed since it was sent.
    PeerFailed {
        /// The member that was asked.
        to: NodeId,
        /// The question, as [`LeaseMsg::question`] names it.
        question: QuestionId,
    },
    /// A worker has shown an epoch. A holder of a lower one stops at once.
    EpochSeen(Epoch),
    /// The node shuts down: the lease is given up.
    HandOver,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Read the row.
    ReadRow {
        /// Comes back with the answer.
        call: u64,
    },
    /// Write the row, if it still has the expected version.
    WriteRow {
        /// Comes back with the answer.
        call: u64,
        /// The version that the row must have; `None` where there must be no row.
        expected: Option<u64>,
        /// The row's new content.
        row: LeaseRow,
    },
    /// Send a message to another node of the domain, on a fresh connection.
    Send {
        /// The receiver.
        to: NodeId,
        /// Where it is reached.
        address: String,
        /// The message.
        msg: LeaseMsg,
    },
    /// This node schedules the domain from now on.
    Activated(Epoch),
    /// This node schedules the domain no longer.
    Stopped(Epoch),
}

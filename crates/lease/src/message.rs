//! The messages between the nodes of a domain.

use model::{Epoch, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Holder;

/// Identifies one request of a round, so that a late or duplicate answer is not matched to another
/// round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct QuestionId {
    /// The incarnation of the requesting node.
    pub incarnation: Incarnation,
    /// The number of the round within that incarnation.
    pub round: u64,
    /// The number, from 0, of the fresh connection on which the member was asked in this round. An
    /// answer to any attempt is accepted; a failure ends only the attempt that it names.
    pub attempt: u32,
}

/// The purpose of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Purpose {
    /// The requesting node claims the lease.
    Claim,
    /// The requesting node holds the lease and renews it.
    Renew,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The answering node does not hold the lease. It will not take the lease within one term of
    /// this answer unless it asks the members again.
    Confirmed,
    /// The answering node holds the lease under this epoch.
    Holding(Epoch),
    /// The answering node's own claim, under this epoch, takes precedence.
    Claiming(Epoch),
    /// The epoch of the request has ended, or the same or a higher epoch is known to have been
    /// held. Carries the highest epoch that the answering node knows.
    Superseded(Epoch),
    /// The answering node knows a later incarnation of the requesting node. The requesting process
    /// must not take part any more.
    Stale,
}

/// A message between the nodes of a domain. Each message is sent on a fresh connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum LeaseMsg {
    /// Asks a member to confirm a claim or a renewal.
    Ask {
        /// Identifies the request; returned with the answer.
        question: QuestionId,
        /// The purpose of the request.
        purpose: Purpose,
        /// The requesting node.
        from: Holder,
        /// The epoch that the requesting node claims or holds.
        epoch: Epoch,
    },
    /// Answers an [`LeaseMsg::Ask`].
    Answer {
        /// The request that is answered.
        question: QuestionId,
        /// The answer.
        reply: Reply,
    },
    /// Announces that the holder has stopped and released the lease.
    HandedOver {
        /// The epoch that was released.
        epoch: Epoch,
    },
}

impl LeaseMsg {
    /// Returns the id of the request if the message is an [`LeaseMsg::Ask`].
    ///
    /// If no answer to it arrives, the node must report
    /// [`Input::PeerFailed`](crate::Input::PeerFailed) with this id. Other messages may be lost
    /// without a report.
    #[must_use]
    pub const fn question(&self) -> Option<QuestionId> {
        match self {
            Self::Ask { question, .. } => Some(*question),
            Self::Answer { .. } | Self::HandedOver { .. } => None,
        }
    }
}

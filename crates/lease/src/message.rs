//! The messages between the nodes of a domain.

use model::{Epoch, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Holder;

/// Names one round of questions, so that a late or duplicated answer is matched to nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct QuestionId {
    /// The asking node's start.
    pub incarnation: Incarnation,
    /// Counts the rounds of that start.
    pub round: u64,
    /// Counts the fresh connections on which this member was asked in this round, from 0. The answer
    /// to any of them counts; a failure ends the one that it names.
    pub attempt: u32,
}

/// What a question is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Purpose {
    /// The asking node wants the lease.
    Claim,
    /// The asking node holds the lease and wants to go on.
    Renew,
}

/// The answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The answering node does not hold the lease, and takes it no sooner than a term after this
    /// unless it asks again.
    Confirmed,
    /// The answering node holds the lease under this epoch.
    Holding(Epoch),
    /// The answering node's own claim, under this epoch, goes first.
    Claiming(Epoch),
    /// The epoch of the question is over: this one has been seen since.
    Superseded(Epoch),
    /// A later start of the asking node is known: the asking process takes part no longer.
    Stale,
}

/// A message between the nodes of a domain. Each is sent on a fresh connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum LeaseMsg {
    /// Asks a member to confirm a claim or a renewal.
    Ask {
        /// Comes back with the answer.
        question: QuestionId,
        /// What the question is for.
        purpose: Purpose,
        /// The asking node.
        from: Holder,
        /// The epoch that it claims or holds.
        epoch: Epoch,
    },
    /// Answers an [`LeaseMsg::Ask`].
    Answer {
        /// The question answered.
        question: QuestionId,
        /// The answer.
        reply: Reply,
    },
    /// The holder has stopped and given up the lease of this epoch.
    HandedOver {
        /// The epoch given up.
        epoch: Epoch,
    },
}

impl LeaseMsg {
    /// The question that the message asks. Where such a message brings no answer, the node reports
    /// [`Input::PeerFailed`](crate::Input::PeerFailed) with it; other messages may be lost.
    #[must_use]
    pub const fn question(&self) -> Option<QuestionId> {
        match self {
            Self::Ask { question, .. } => Some(*question),
            Self::Answer { .. } | Self::HandedOver { .. } => None,
        }
    }
}

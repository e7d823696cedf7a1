//! One round of requests to the members of the domain.

use std::collections::BTreeMap;

use model::{Epoch, NodeId, Time};

use crate::{Holder, LeaseMsg, Output, Purpose, QuestionId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// A request is outstanding after this many failed connections.
    Pending {
        failures: u32,
    },
    Confirmed,
    /// All permitted connections have failed without an answer.
    Unreachable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Target {
    address: String,
    progress: Progress,
}

/// A round of requests. A term that it confirms counts from before its first request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    question: QuestionId,
    purpose: Purpose,
    from: Holder,
    epoch: Epoch,
    sent: Time,
    targets: BTreeMap<NodeId, Target>,
}

impl Round {
    /// Starts a round and sends its requests.
    pub(crate) fn start(
        now: Time,
        number: u64,
        purpose: Purpose,
        from: &Holder,
        epoch: Epoch,
        targets: impl Iterator<Item = (NodeId, String)>,
        out: &mut Vec<Output>,
    ) -> Self {
        let pending = |(node, address)| {
            let progress = Progress::Pending { failures: 0 };
            (node, Target { address, progress })
        };
        let round = Self {
            question: QuestionId {
                incarnation: from.incarnation,
                round: number,
                attempt: 0,
            },
            purpose,
            from: from.clone(),
            epoch,
            sent: now,
            targets: targets.map(pending).collect(),
        };
        for (node, target) in &round.targets {
            out.push(round.request(*node, &target.address, 0));
        }
        round
    }

    fn request(&self, to: NodeId, address: &str, attempt: u32) -> Output {
        let msg = LeaseMsg::Ask {
            question: QuestionId {
                attempt,
                ..self.question
            },
            purpose: self.purpose,
            from: self.from.clone(),
            epoch: self.epoch,
        };
        Output::Send {
            to,
            address: address.to_owned(),
            msg,
        }
    }

    pub(crate) const fn sent(&self) -> Time {
        self.sent
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a request belongs to this round.
    pub(crate) fn matches(&self, question: QuestionId) -> bool {
        (self.question.incarnation, self.question.round) == (question.incarnation, question.round)
    }

    pub(crate) fn record_confirmation(&mut self, node: NodeId) {
        if let Some(target) = self.targets.get_mut(&node) {
            target.progress = Progress::Confirmed;
        }
    }

    /// Records the failure of a connection. Sends the request again on another connection, or marks
    /// the member as unreachable after `attempts` failures.
    pub(crate) fn record_failure(
        &mut self,
        node: NodeId,
        question: QuestionId,
        attempts: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(&node) else {
            return;
        };
        let Progress::Pending { failures } = target.progress else {
            return;
        };
        if question.attempt != failures {
            // A late report of the failure of an earlier connection.
            return;
        }
        let failures = failures + 1;
        if failures >= attempts {
            target.progress = Progress::Unreachable;
            return;
        }
        target.progress = Progress::Pending { failures };
        let address = target.address.clone();
        out.push(self.request(node, &address, failures));
    }

    /// Whether every member has confirmed or is unreachable.
    pub(crate) fn is_complete(&self) -> bool {
        let is_pending = |target: &Target| matches!(target.progress, Progress::Pending { .. });
        !self.targets.values().any(is_pending)
    }

    pub(crate) fn unreachable(&self) -> impl Iterator<Item = NodeId> {
        let unreachable = self
            .targets
            .iter()
            .filter(|(_, target)| target.progress == Progress::Unreachable);
        unreachable.map(|(node, _)| *node)
    }
}

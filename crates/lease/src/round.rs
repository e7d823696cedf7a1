//! One round of questions to the members of the domain.

use std::collections::BTreeMap;

use model::{Epoch, NodeId, Time};

use crate::{Holder, LeaseMsg, Output, Purpose, QuestionId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// So many fresh connections have failed; another one is open.
    Asked {
        failures: u32,
    },
    Confirmed,
    /// No fresh connection has brought an answer.
    Unreachable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    address: String,
    progress: Progress,
}

/// A round of questions. What it brings counts from before its first question was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    question: QuestionId,
    purpose: Purpose,
    from: Holder,
    epoch: Epoch,
    sent: Time,
    asked: BTreeMap<NodeId, Asked>,
}

impl Round {
    /// Begins a round and sends its questions.
    pub(crate) fn start(
        now: Time,
        number: u64,
        purpose: Purpose,
        from: &Holder,
        epoch: Epoch,
        targets: impl Iterator<Item = (NodeId, String)>,
        out: &mut Vec<Output>,
    ) -> Self {
        let begun = |(node, address)| {
            let progress = Progress::Asked { failures: 0 };
            (node, Asked { address, progress })
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
            asked: targets.map(begun).collect(),
        };
        for (node, asked) in &round.asked {
            out.push(round.ask(*node, &asked.address, 0));
        }
        round
    }

    fn ask(&self, to: NodeId, address: &str, attempt: u32) -> Output {
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

    /// Whether a question is of this round.
    pub(crate) fn is(&self, question: QuestionId) -> bool {
        (self.question.incarnation, self.question.round) == (question.incarnation, question.round)
    }

    pub(crate) fn confirmed(&mut self, node: NodeId) {
        if let Some(asked) = self.asked.get_mut(&node) {
            asked.progress = Progress::Confirmed;
        }
    }

    /// A fresh connection has failed: tries another one, or counts the member as unreachable.
    pub(crate) fn failed(
        &mut self,
        node: NodeId,
        question: QuestionId,
        attempts: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(asked) = self.asked.get_mut(&node) else {
            return;
        };
        let Progress::Asked { failures } = asked.progress else {
            return;
        };
        if question.attempt != failures {
            // The failure of an earlier connection, told late.
            return;
        }
        let failures = failures + 1;
        if failures >= attempts {
            asked.progress = Progress::Unreachable;
            return;
        }
        asked.progress = Progress::Asked { failures };
        let address = asked.address.clone();
        out.push(self.ask(node, &address, failures));
    }

    /// Whether every member has confirmed or is unreachable.
    pub(crate) fn is_complete(&self) -> bool {
        let open = |asked: &Asked| matches!(asked.progress, Progress::Asked { .. });
        !self.asked.values().any(open)
    }

    pub(crate) fn unreachable(&self) -> impl Iterator<Item = NodeId> {
        let unreachable = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.progress == Progress::Unreachable);
        unreachable.map(|(node, _)| *node)
    }
}

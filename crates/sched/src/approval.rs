//! Approvals: which workers may run a step.
//!
//! Load pattern: each request costs an approver a good part of a second, its answer holds for two, and
//! steps may wait for longer than that. Which workers are allowed never changes, so what was learned is
//! kept, and only the approvals themselves are renewed, once there is room to use them.

use std::{collections::HashMap, sync::Arc};

use model::{Time, WorkerId};

/// The proof of an approval that a start has to carry.
pub type Ticket = Arc<str>;

/// What is known of one worker and one step.
#[derive(Clone, Debug)]
struct Approval {
    /// The life of the worker that the ticket holds for.
    born: u64,
    ticket: Ticket,
    until: Time,
}

/// What is known of the workers that may run one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Approvals {
    /// The workers that were asked about: the last approval, or none if they are not allowed.
    known: HashMap<WorkerId, Option<Approval>>,
    /// Until when a request that is under way may take.
    pending_until: Option<Time>,
}

impl Approvals {
    /// Notes an answer: of the workers `asked`, those in `allowed` may run the step.
    pub(crate) fn answer(
        &mut self,
        asked: &[WorkerId],
        allowed: impl IntoIterator<Item = (WorkerId, u64, Ticket)>,
        until: Time,
    ) {
        self.pending_until = None;
        for &worker in asked {
            self.known.entry(worker).or_insert(None);
        }
        for (worker, born, ticket) in allowed {
            let approval = Approval {
                born,
                ticket,
                until,
            };
            self.known.insert(worker, Some(approval));
        }
    }

    /// Whether anything is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The workers that are known to be allowed, whether their tickets still hold or not.
    pub(crate) fn allowed(&self) -> impl Iterator<Item = WorkerId> {
        self.known
            .iter()
            .filter(|(_, approval)| approval.is_some())
            .map(|(&worker, _)| worker)
    }

    /// Whether the worker is known to be allowed.
    pub(crate) fn is_allowed(&self, worker: WorkerId) -> bool {
        matches!(self.known.get(&worker), Some(Some(_)))
    }

    /// Whether the worker was asked about.
    pub(crate) fn is_known(&self, worker: WorkerId) -> bool {
        self.known.contains_key(&worker)
    }

    /// The ticket for a worker's present life, if one holds at `now`.
    pub(crate) fn ticket(&self, now: Time, worker: WorkerId, born: u64) -> Option<&Ticket> {
        let approval = self.known.get(&worker)?.as_ref()?;
        (approval.born == born && now < approval.until).then_some(&approval.ticket)
    }

    /// Forgets a ticket that a worker has refused.
    pub(crate) fn revoke(&mut self, worker: WorkerId) {
        if let Some(Some(approval)) = self.known.get_mut(&worker) {
            approval.until = Time::ZERO;
        }
    }

    /// The request under way has brought nothing.
    pub(crate) const fn failed(&mut self) {
        self.pending_until = None;
    }

    /// Notes that a request is under way.
    pub(crate) const fn asked(&mut self, until: Time) {
        self.pending_until = Some(until);
    }

    /// Whether a request is under way.
    pub(crate) fn is_pending(&self, now: Time) -> bool {
        self.pending_until.is_some_and(|until| now < until)
    }
}

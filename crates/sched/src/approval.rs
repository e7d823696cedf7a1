//! Approvals: which workers may run a step.
//!
//! Load pattern: each request costs an approver a good part of a second, its answer holds for two, and
//! steps may wait for longer than that. Which workers are allowed never changes, so what was learned is
//! kept, and only the approvals themselves are renewed, once there is room to use them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::{Time, WorkerId};

/// How long a count of what the allowed workers hold is used: workers come and go.
const CAPACITY_AGE: Duration = Duration::from_secs(2);

/// The proof of an approval that a start has to carry.
pub type Ticket = Arc<str>;

/// A worker that may run the step, with its last ticket.
#[derive(Clone, Debug)]
pub(crate) struct Allowed {
    pub(crate) worker: WorkerId,
    /// The life of the worker that the ticket holds for.
    started_unix_ms: u64,
    ticket: Ticket,
    until: Time,
}

impl Allowed {
    /// The ticket, if it holds at `now` for the life that began at `started_unix_ms`.
    pub(crate) fn ticket(&self, now: Time, started_unix_ms: u64) -> Option<&Ticket> {
        (self.started_unix_ms == started_unix_ms && now < self.until).then_some(&self.ticket)
    }
}

/// What is known of the workers that may run one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Approvals {
    /// The workers that were asked about.
    asked: BTreeSet<WorkerId>,
    /// Those of them that may run the step, in the order of their numbers.
    allowed: Vec<Allowed>,
    /// By then all tickets have lapsed.
    tickets_lapse_at: Time,
    /// How many requests are under way.
    requests_in_flight: u32,
    /// Until when the last of them may take, or when to ask again after one has failed.
    pending_until: Option<Time>,
    /// When to look again for workers that were not asked about.
    next_widening_at: Time,
    /// How many tasks of the step would fit on the allowed workers if they were empty, when that was looked
    /// at, and how many workers were asked about by then.
    capacity: Option<(usize, Time, usize)>,
}

impl Approvals {
    /// Notes an answer: of the workers `asked`, those in `allowed` may run the step.
    pub(crate) fn record_answer(
        &mut self,
        asked: &[WorkerId],
        allowed: impl IntoIterator<Item = (WorkerId, u64, Ticket)>,
        until: Time,
    ) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        if self.requests_in_flight == 0 {
            self.pending_until = None;
        }
        self.tickets_lapse_at = self.tickets_lapse_at.max(until);
        self.asked.extend(asked);
        for (worker, started_unix_ms, ticket) in allowed {
            let new = Allowed {
                worker,
                started_unix_ms,
                ticket,
                until,
            };
            match self.position(worker) {
                Ok(at) => self.allowed[at] = new,
                Err(at) => self.allowed.insert(at, new),
            }
        }
    }

    fn position(&self, worker: WorkerId) -> Result<usize, usize> {
        self.allowed
            .binary_search_by_key(&worker, |allowed| allowed.worker)
    }

    /// Whether anything is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// The workers that are known to be allowed, whether their tickets still hold or not.
    pub(crate) fn allowed(&self) -> &[Allowed] {
        &self.allowed
    }

    /// Whether a ticket may still hold.
    pub(crate) fn has_tickets(&self, now: Time) -> bool {
        now < self.tickets_lapse_at
    }

    /// Whether the worker was asked about.
    pub(crate) fn is_known(&self, worker: WorkerId) -> bool {
        self.asked.contains(&worker)
    }

    /// The ticket for a worker's present life, if one holds at `now`.
    pub(crate) fn ticket(
        &self,
        now: Time,
        worker: WorkerId,
        started_unix_ms: u64,
    ) -> Option<&Ticket> {
        let at = self.position(worker).ok()?;
        self.allowed[at].ticket(now, started_unix_ms)
    }

    /// Forgets a ticket that a worker has refused.
    pub(crate) fn revoke(&mut self, worker: WorkerId) {
        if let Ok(at) = self.position(worker) {
            self.allowed[at].until = Time::ZERO;
        }
    }

    /// A request has brought nothing. None is made until the others are answered, and not before `retry_at`.
    pub(crate) fn record_failure(&mut self, retry_at: Time) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        if self.requests_in_flight == 0 {
            self.pending_until = Some(retry_at);
        }
    }

    /// Whether it is time to look for workers that were not asked about. The next time is after `pause`.
    pub(crate) fn may_widen(&mut self, now: Time, pause: Duration) -> bool {
        let is_due = now >= self.next_widening_at && !self.is_pending(now);
        if is_due {
            self.next_widening_at = now + pause;
        }
        is_due
    }

    /// Notes that one more request is under way, which may take until then.
    pub(crate) fn record_request(&mut self, until: Time) {
        self.requests_in_flight += 1;
        self.pending_until = self.pending_until.max(Some(until));
    }

    /// Whether a request is under way.
    pub(crate) fn is_pending(&self, now: Time) -> bool {
        self.pending_until.is_some_and(|until| now < until)
    }

    /// How many tasks of the step would fit on the allowed workers if they were empty, if that was looked at
    /// lately and since the last answer.
    pub(crate) fn capacity(&self, now: Time) -> Option<usize> {
        self.capacity
            .filter(|&(_, at, asked)| asked == self.asked.len() && now < at + CAPACITY_AGE)
            .map(|(capacity, _, _)| capacity)
    }

    pub(crate) fn cache_capacity(&mut self, now: Time, capacity: usize) {
        self.capacity = Some((capacity, now, self.asked.len()));
    }
}

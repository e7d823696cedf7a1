//! Approvals: which workers may run a step.
//!
//! Each request takes an approver a good part of a second, and its answer is valid for two seconds,
//! but steps may wait for longer than that. Whether a worker is allowed never changes, so this
//! knowledge is kept and only the tickets are renewed, once there is free capacity to use them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::{Time, WorkerId};

/// How long a computed capacity of the allowed workers is reused. It becomes outdated as workers
/// come and go.
const MAX_CAPACITY_AGE: Duration = Duration::from_secs(2);

/// The proof of an approval, which a start order has to carry.
pub type Ticket = Arc<str>;

/// A worker that may run the step, with its last ticket.
#[derive(Clone, Debug)]
pub(crate) struct Allowed {
    pub(crate) worker: WorkerId,
    /// The start time of the worker's incarnation for which the ticket is valid.
    started_unix_ms: u64,
    ticket: Ticket,
    until: Time,
}

impl Allowed {
    /// Returns the ticket, if it is valid at `now` for the incarnation that started at
    /// `started_unix_ms`.
    pub(crate) fn ticket(&self, now: Time, started_unix_ms: u64) -> Option<&Ticket> {
        (self.started_unix_ms == started_unix_ms && now < self.until).then_some(&self.ticket)
    }
}

/// The approvals of one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Approvals {
    /// The workers that were asked about.
    asked: BTreeSet<WorkerId>,
    /// The workers that may run the step, sorted by id.
    allowed: Vec<Allowed>,
    /// When the first answer arrived.
    first_at: Option<Time>,
    /// When all tickets have lapsed.
    tickets_lapse_at: Time,
    /// The number of requests in flight.
    requests_in_flight: u32,
    /// When the last request in flight times out, or when to ask again after a failed one.
    pending_until: Option<Time>,
    /// When to search next for workers that were not asked about.
    next_widening_at: Time,
    /// The number of tasks of the step that would fit on the allowed workers if they were empty,
    /// the time when it was computed, and the number of workers that had been asked about by then.
    capacity: Option<(usize, Time, usize)>,
}

impl Approvals {
    /// Records an answer: of the workers `asked`, those in `allowed` may run the step.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        asked: &[WorkerId],
        allowed: impl IntoIterator<Item = (WorkerId, u64, Ticket)>,
        until: Time,
    ) {
        self.first_at.get_or_insert(now);
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

    /// Returns when the first answer arrived.
    pub(crate) const fn first_at(&self) -> Option<Time> {
        self.first_at
    }

    /// Returns whether no answer has arrived yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// Returns the workers that are known to be allowed, whether their tickets are still valid or
    /// not.
    pub(crate) fn allowed(&self) -> &[Allowed] {
        &self.allowed
    }

    /// Returns whether any ticket may still be valid.
    pub(crate) fn has_tickets(&self, now: Time) -> bool {
        now < self.tickets_lapse_at
    }

    /// Returns whether the worker was asked about.
    pub(crate) fn is_known(&self, worker: WorkerId) -> bool {
        self.asked.contains(&worker)
    }

    /// Returns the ticket for the worker's incarnation that started at `started_unix_ms`, if one is
    /// valid at `now`.
    pub(crate) fn ticket(
        &self,
        now: Time,
        worker: WorkerId,
        started_unix_ms: u64,
    ) -> Option<&Ticket> {
        let at = self.position(worker).ok()?;
        self.allowed[at].ticket(now, started_unix_ms)
    }

    /// Invalidates a ticket that a worker has refused.
    pub(crate) fn revoke(&mut self, worker: WorkerId) {
        if let Ok(at) = self.position(worker) {
            self.allowed[at].until = Time::ZERO;
        }
    }

    /// Records that a request has failed. If others are in flight, no request is made until they are
    /// answered or time out; otherwise none is made before `retry_at`.
    pub(crate) fn record_failure(&mut self, retry_at: Time) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        if self.requests_in_flight == 0 {
            self.pending_until = Some(retry_at);
        }
    }

    /// Returns whether it is time to search for workers that were not asked about. If so, the next
    /// time is after `pause`.
    pub(crate) fn may_widen(&mut self, now: Time, pause: Duration) -> bool {
        let is_due = now >= self.next_widening_at && !self.is_pending(now);
        if is_due {
            self.next_widening_at = now + pause;
        }
        is_due
    }

    /// Records that a request was sent, which may take until `until`.
    pub(crate) fn record_request(&mut self, until: Time) {
        self.requests_in_flight += 1;
        self.pending_until = self.pending_until.max(Some(until));
    }

    /// Returns whether a request is in flight, or the pause after a failed one has not passed.
    pub(crate) fn is_pending(&self, now: Time) -> bool {
        self.pending_until.is_some_and(|until| now < until)
    }

    /// Returns the cached number of tasks of the step that would fit on the allowed workers if they
    /// were empty, if it was computed recently and no further workers have been asked about since.
    pub(crate) fn capacity(&self, now: Time) -> Option<usize> {
        self.capacity
            .filter(|&(_, at, asked)| asked == self.asked.len() && now < at + MAX_CAPACITY_AGE)
            .map(|(capacity, _, _)| capacity)
    }

    pub(crate) fn cache_capacity(&mut self, now: Time, capacity: usize) {
        self.capacity = Some((capacity, now, self.asked.len()));
    }
}

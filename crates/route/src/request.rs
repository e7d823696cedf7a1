//! The router's state of one request.

use std::time::Duration;

use model::{NodeId, Repeat, Time, WorkerId};

use crate::{IncomingRequest, Reason, ReqId, service::Service};

/// The target of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A backend server.
    Worker(WorkerId),
    /// Another node.
    Node {
        /// The node.
        node: NodeId,
        /// Whether it is in another region.
        is_other_region: bool,
    },
}

/// The state of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is queued and waits for a slot.
    Queued,
    /// It holds a slot, and its claim is being committed.
    Claiming { worker: WorkerId },
    /// An attempt is in flight.
    Running {
        attempt: u32,
        target: Target,
        since: Time,
    },
    /// It waits for the backoff before its next attempt.
    Backoff,
    /// It was given up, and its claim is being voided.
    Voiding {
        reason: Reason,
        retry_after: Option<Duration>,
    },
}

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: ReqId,
    pub(crate) service: String,
    pub(crate) key: Option<String>,
    pub(crate) fingerprint: u64,
    pub(crate) is_forwarded: bool,
    pub(crate) received_at: Time,
    pub(crate) deadline: Time,
    /// No attempt is started from this time on, because it is not expected to end before the deadline.
    pub(crate) start_by: Time,
    /// When the request's timer is due.
    pub(crate) timer_at: Time,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// The target of the last attempt. Another target is preferred if there is one.
    pub(crate) last_target: Option<Target>,
    /// Whether its claim has been committed.
    pub(crate) is_claimed: bool,
    /// Whether the last attempt may be repeated: the policy when it began, or `Never` under a claim.
    pub(crate) last_repeat: Repeat,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// The slot time that was charged in advance for its attempt or claim, in microseconds.
    pub(crate) charged_us: u64,
}

impl Request {
    pub(crate) fn new(
        now: Time,
        incoming: &IncomingRequest,
        time_left: Duration,
        run: Duration,
    ) -> Self {
        let start_by = now + time_left.saturating_sub(run);
        Self {
            id: incoming.req,
            service: incoming.service.clone(),
            key: incoming.key.clone(),
            fingerprint: incoming.fingerprint,
            is_forwarded: incoming.is_forwarded,
            received_at: now,
            deadline: now + time_left,
            start_by,
            timer_at: start_by,
            phase: Phase::Queued,
            attempts: 0,
            last_target: None,
            is_claimed: false,
            last_repeat: Repeat::Never,
            may_have_run: false,
            charged_us: 0,
        }
    }

    /// Whether the request must not be claimed or sent any more, as it may have run and must not be repeated.
    pub(crate) fn must_not_start(&self, service: &Service) -> bool {
        self.may_have_run && service.policy.repeat == Repeat::Never
    }

    /// Begins an attempt under a policy, and returns its number.
    pub(crate) fn begin_attempt(&mut self, now: Time, target: Target, repeat: Repeat) -> u32 {
        self.attempts += 1;
        // A claim promises that the request runs at most once, whatever the policy is now.
        self.last_repeat = if self.is_claimed {
            Repeat::Never
        } else {
            repeat
        };
        self.last_target = Some(target);
        self.phase = Phase::Running {
            attempt: self.attempts,
            target,
            since: now,
        };
        self.attempts
    }
}

//! One request on its way through a router.

use std::time::Duration;

use model::{NodeId, Time, WorkerId};

use crate::{IncomingRequest, Reason, ReqId};

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A backend server.
    Worker(WorkerId),
    /// Another node.
    Node {
        /// The node.
        node: NodeId,
        /// Whether it is in another region.
        across: bool,
    },
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot.
    Queued,
    /// It holds a slot, and its claim is being committed.
    Claiming { worker: WorkerId },
    /// An attempt is under way.
    Running {
        attempt: u32,
        target: Target,
        since: Time,
    },
    /// It waits before its next attempt.
    Backoff,
    /// It is given up, and its claim is being voided.
    Voiding {
        reason: Reason,
        retry_after: Option<Duration>,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: ReqId,
    pub(crate) service: String,
    pub(crate) key: Option<String>,
    pub(crate) fingerprint: u64,
    pub(crate) is_forwarded: bool,
    pub(crate) offered: Time,
    pub(crate) deadline: Time,
    /// Nothing is started from this point on: it would not end in time.
    pub(crate) give_up: Time,
    pub(crate) timer: Time,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// The server or node of the last attempt, which is avoided where there is another.
    pub(crate) last: Option<Target>,
    pub(crate) claimed: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// The slot time that was charged for its attempt or claim, in microseconds.
    pub(crate) charged_us: u64,
}

impl Request {
    pub(crate) fn new(now: Time, offer: &IncomingRequest, within: Duration, run: Duration) -> Self {
        let give_up = now + within.saturating_sub(run);
        Self {
            id: offer.req,
            service: offer.service.clone(),
            key: offer.key.clone(),
            fingerprint: offer.fingerprint,
            is_forwarded: offer.is_forwarded,
            offered: now,
            deadline: now + within,
            give_up,
            timer: give_up,
            phase: Phase::Queued,
            attempts: 0,
            last: None,
            claimed: false,
            may_have_run: false,
            charged_us: 0,
        }
    }

    /// Begins an attempt and returns its number.
    pub(crate) fn begin_attempt(&mut self, now: Time, target: Target) -> u32 {
        self.attempts += 1;
        self.last = Some(target);
        self.phase = Phase::Running {
            attempt: self.attempts,
            target,
            since: now,
        };
        self.attempts
    }
}

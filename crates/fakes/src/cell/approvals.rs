//! A stand-in for the approval service. It handles one request of a node at a time, and its answers never
//! change. The hosts check the tickets that it issues.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jobs::StepKey;
use model::{Time, WorkerId, stable_hash};
use sched::Ticket;

/// What a ticket is valid for: a step on one incarnation of a host, until a given time.
#[derive(Clone, Copy, Debug)]
struct Validity {
    step: StepKey,
    host: WorkerId,
    started_unix_ms: u64,
    until: Time,
}

#[derive(Debug)]
pub(super) struct Approvals {
    seed: u64,
    tickets: HashMap<Ticket, Validity>,
    busy_until: HashMap<Arc<str>, Time>,
    pub(super) requests: u64,
}

impl Approvals {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            tickets: HashMap::new(),
            busy_until: HashMap::new(),
            requests: 0,
        }
    }

    /// Returns when a node has the answer to a request that it makes now and that takes `cost`.
    pub(super) fn answer_at(&mut self, now: Time, node: &Arc<str>, cost: Duration) -> Time {
        self.requests += 1;
        let busy = self.busy_until.entry(node.clone()).or_default();
        *busy = (*busy).max(now) + cost;
        *busy
    }

    /// Issues a ticket for a step on the incarnation of a host that started at `started_unix_ms`.
    pub(super) fn issue(
        &mut self,
        step: StepKey,
        host: WorkerId,
        started_unix_ms: u64,
        until: Time,
    ) -> Ticket {
        let ticket: Ticket = format!("ticket{}", self.tickets.len()).into();
        let validity = Validity {
            step,
            host,
            started_unix_ms,
            until,
        };
        self.tickets.insert(ticket.clone(), validity);
        ticket
    }

    /// Returns whether a ticket is valid now for a step on the incarnation of a host that started at
    /// `started_unix_ms`.
    pub(super) fn is_valid(
        &self,
        now: Time,
        ticket: &Ticket,
        step: StepKey,
        host: WorkerId,
        started_unix_ms: u64,
    ) -> bool {
        self.tickets.get(ticket).is_some_and(|validity| {
            validity.step == step
                && validity.host == host
                && validity.started_unix_ms == started_unix_ms
                && now < validity.until
        })
    }

    /// Returns whether a host may run a step that a `share` of the hosts may run. Of any ten consecutive
    /// hosts that share is allowed, so that no step is left without hosts by chance.
    pub(super) fn is_allowed(&self, step: StepKey, host: WorkerId, share: f64) -> bool {
        let text = format!("{}/{step}", self.seed);
        let turn = (stable_hash(text.bytes()) % 10 + u64::from(host.0) * 7) % 10;
        f64::from(u32::try_from(turn).unwrap_or(0)) < share * 10.0
    }
}

//! The simulated callers: when they send requests, how long they wait, and which requests they resend.

use std::time::Duration;

use model::{NodeId, Repeat, Time, Verdict};

use super::{
    Cell, Load, SimEvent,
    records::{Answer, Try, TryId},
    traffic::TrafficStep,
};

/// The one-way latency between a caller and a node.
pub(crate) const CALLER_LATENCY: Duration = Duration::from_millis(1);
/// How much longer than the service's deadline a caller waits for an answer.
const GIVE_UP_MARGIN: Duration = Duration::from_secs(1);
/// The longest time that a caller waits before it resends a refused request, even if the answer names a longer time.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);
/// The most times that a request is sent.
const MAX_TRIES: u32 = 4;

/// A caller's request that may have to be resent.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// The index of the load in [`Callers`].
    pub(crate) load: usize,
    /// The idempotency key.
    pub(crate) key: Option<String>,
    /// How many times it was sent.
    pub(crate) tries: u32,
}

/// The state of all callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    loads: Vec<Load>,
    request_count: u64,
    last_try_id: u64,
}

impl Callers {
    /// Adds a load and returns its index.
    pub(crate) fn add(&mut self, load: Load) -> usize {
        self.loads.push(load);
        self.loads.len() - 1
    }

    /// Ends all loads.
    pub(crate) fn stop(&mut self, now: Time) {
        for load in &mut self.loads {
            load.until = load.until.min(now);
        }
    }
}

impl Cell {
    /// Sends a load's next request and schedules the one after it.
    pub(crate) fn send_next_request(&mut self, i: usize) {
        let Some(load) = self.callers.loads.get(i).cloned() else {
            return;
        };
        if self.now >= load.until {
            return;
        }
        let wait = self
            .rng
            .span(Duration::from_millis(1), load.mean_interval * 2);
        let step = SimEvent::Traffic(TrafficStep::NextRequest(i));
        self.queue.push(self.now + wait, step);
        self.callers.request_count += 1;
        let number = self.callers.request_count;
        let key = (load.repeat == Repeat::Never).then(|| format!("key-{number}"));
        self.send_try(PendingRequest {
            load: i,
            key,
            tries: 0,
        });
    }

    /// Sends a request to a random ready node, as the platform's load balancer does.
    pub(crate) fn send_try(&mut self, pending: PendingRequest) {
        let Some(load) = self.callers.loads.get(pending.load) else {
            return;
        };
        let ready = self.ready_nodes();
        let Some(node) = pick(&ready, self.rng.below(ready.len() as u64)) else {
            return;
        };
        self.callers.last_try_id += 1;
        let id = TryId(self.callers.last_try_id);
        let gives_up_at = self.now + load.deadline + GIVE_UP_MARGIN;
        self.records.tries.push(Try {
            id,
            service: load.service.clone(),
            key: pending.key.clone(),
            node,
            sent: self.now,
            gives_up_at,
            is_lost: false,
            answers: Vec::new(),
        });
        let pending = PendingRequest {
            tries: pending.tries + 1,
            ..pending
        };
        self.traffic.add_pending(id, pending);
        let arrives = SimEvent::Traffic(TrafficStep::Arrives { id, node });
        self.queue.push(self.now + CALLER_LATENCY, arrives);
        let over = SimEvent::Traffic(TrafficStep::CallerGivesUp(id));
        self.queue.push(gives_up_at, over);
    }

    /// Delivers an answer to its caller, unless it is lost between node and caller. Schedules a resend if the request
    /// did not run or may not have run.
    pub(crate) fn caller_answered(
        &mut self,
        id: TryId,
        answer: Answer,
        retry_after: Option<Duration>,
    ) {
        let verdict = answer.verdict;
        let is_lost = self.traffic.draw_answer_loss();
        let Some(sent) = self.try_mut(id) else {
            return;
        };
        if is_lost && sent.answers.is_empty() {
            sent.is_lost = true;
            self.schedule_resend(id, Duration::ZERO);
            return;
        }
        sent.answers.push(answer);
        if sent.answers.len() > 1 {
            return;
        }
        match verdict {
            Verdict::Ran => self.traffic.remove_pending(id),
            Verdict::NotRun => {
                let wait = retry_after.unwrap_or_default().min(MAX_RETRY_WAIT);
                self.schedule_resend(id, wait);
            }
            Verdict::MayHaveRun => self.schedule_resend(id, Duration::ZERO),
        }
    }

    /// Handles a connection that broke before an answer arrived.
    pub(crate) fn connection_lost(&mut self, id: TryId) {
        if let Some(sent) = self.try_mut(id) {
            sent.is_lost = true;
            self.schedule_resend(id, Duration::ZERO);
        }
    }

    /// Handles the end of a caller's wait for an answer.
    pub(crate) fn caller_gives_up(&mut self, id: TryId) {
        let is_waiting = |sent: &mut Try| !sent.is_lost && sent.answers.is_empty();
        if self.try_mut(id).is_some_and(is_waiting) {
            self.schedule_resend(id, Duration::ZERO);
        }
    }

    /// Schedules another try of a request with the same key, unless it was already sent `MAX_TRIES` times.
    fn schedule_resend(&mut self, id: TryId, wait: Duration) {
        let Some(pending) = self.traffic.take_pending(id) else {
            return;
        };
        if pending.tries < MAX_TRIES {
            let at = self.now + wait;
            let step = SimEvent::Traffic(TrafficStep::Resend(pending));
            self.queue.push(at, step);
        }
    }

    fn try_mut(&mut self, id: TryId) -> Option<&mut Try> {
        let i = usize::try_from(id.0).ok()?.checked_sub(1)?;
        self.records.tries.get_mut(i)
    }

    /// Returns an answer without a body that arrives now.
    pub(crate) fn new_answer(&self, verdict: Verdict, reason: &str) -> Answer {
        Answer {
            at: self.now,
            verdict,
            body_of: None,
            is_complete: false,
            reason: reason.to_owned(),
        }
    }

    /// Returns whether any request is still open at a node or may still be resent.
    #[must_use]
    pub fn has_open_requests(&self) -> bool {
        self.traffic.has_open_requests()
    }

    /// Returns the service, the idempotency key and the end of the caller's wait of a try.
    pub(crate) fn service_of(&self, id: TryId) -> Option<(String, Option<String>, Time)> {
        let i = usize::try_from(id.0).ok()?.checked_sub(1)?;
        let sent = self.records.tries.get(i)?;
        Some((sent.service.clone(), sent.key.clone(), sent.gives_up_at))
    }
}

fn pick(nodes: &[NodeId], i: u64) -> Option<NodeId> {
    nodes.get(usize::try_from(i).ok()?).copied()
}

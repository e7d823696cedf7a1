//! The path of requests through nodes to backend servers, and of answers back to callers.

use std::time::Duration;

use model::{NodeId, Verdict};
use node::Event;
use route::{AttemptEnd, Dispatch, Forward, IncomingRequest, Outcome, ReqId, StoredAnswer};

use super::{
    Cell, SimEvent,
    callers::{CALLER_LATENCY, PendingRequest},
    hops::{BackendAttempt, Hop, new_hop},
    records::{Execution, TryId},
};

/// The one-way latency between a node and a backend server of its domain.
const BACKEND_LATENCY: Duration = Duration::from_millis(1);

/// A step on the path of a request or an answer.
#[derive(Clone, Debug)]
pub(crate) enum TrafficStep {
    /// The load with this index sends its next request.
    NextRequest(usize),
    /// A caller sends a request again.
    Resend(PendingRequest),
    /// A caller stops waiting for an answer.
    CallerGivesUp(TryId),
    /// A request arrives at a node.
    Arrives { id: TryId, node: NodeId },
    /// A request that another node forwarded arrives at a node. `req` is its id at the forwarding node, and `child`
    /// its id at the receiving node.
    ArrivesForwarded { req: ReqId, child: ReqId },
    /// A request arrives at a backend server.
    AtBackend { sent: BackendAttempt },
    /// A backend server ends its work on a request. `deaths` is the number of the worker's failures at the start
    /// of the work; if it has changed, the answer is cut short.
    BackendDone {
        sent: BackendAttempt,
        deaths: u32,
        outcome: Outcome,
    },
    /// The outcome of an attempt arrives at the node that made the attempt.
    Finished {
        req: ReqId,
        attempt: u32,
        outcome: Outcome,
        body: Option<TryId>,
    },
}

impl Cell {
    pub(crate) fn traffic_step(&mut self, step: TrafficStep) {
        match step {
            TrafficStep::NextRequest(i) => self.send_next_request(i),
            TrafficStep::Resend(pending) => self.send_try(pending),
            TrafficStep::CallerGivesUp(id) => self.caller_gives_up(id),
            TrafficStep::Arrives { id, node } => self.request_arrives(id, node),
            TrafficStep::ArrivesForwarded { req, child } => {
                self.forwarded_request_arrives(req, child);
            }
            TrafficStep::AtBackend { sent } => self.reach_backend(sent),
            TrafficStep::BackendDone {
                sent,
                deaths,
                outcome,
            } => {
                self.traffic.backend_done(&sent);
                let has_died = self.traffic.worker_deaths(sent.worker) != deaths;
                let outcome = if has_died { Outcome::CutShort } else { outcome };
                let body = (outcome == Outcome::Answered).then_some(sent.origin);
                self.finish_attempt(sent.req, sent.attempt, outcome, body);
            }
            TrafficStep::Finished {
                req,
                attempt,
                outcome,
                body,
            } => self.finish_attempt(req, attempt, outcome, body),
        }
    }

    fn request_arrives(&mut self, id: TryId, node: NodeId) {
        let start = self.current_start(node);
        if start == 0 {
            self.connection_lost(id);
            return;
        }
        let req = self.traffic.add(new_hop(node, start, id, None));
        self.deliver_request(req, node, start, id, false);
    }

    fn forwarded_request_arrives(&mut self, parent: ReqId, child: ReqId) {
        let Some(hop) = self.traffic.hops.get(&child).cloned() else {
            return;
        };
        if self.is_running(hop.node, hop.start) {
            self.deliver_request(child, hop.node, hop.start, hop.origin, true);
        } else {
            self.traffic.hops.remove(&child);
            self.finish_parent_attempt(parent, Outcome::CutShort, None);
        }
    }

    fn deliver_request(
        &mut self,
        req: ReqId,
        node: NodeId,
        start: u64,
        id: TryId,
        is_forwarded: bool,
    ) {
        if let Some(hop) = self.traffic.hops.get_mut(&req) {
            hop.has_arrived = true;
        }
        if let Some((service, key, _)) = self.service_of(id) {
            let request = IncomingRequest {
                req,
                service,
                key,
                is_forwarded,
                ..IncomingRequest::default()
            };
            self.deliver_event(node, start, Event::Request(request));
        }
    }

    /// Sends a request from a node to a backend server.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch) {
        let (req, attempt, worker) = (dispatch.req, dispatch.attempt, dispatch.worker);
        let Some(origin) = self.traffic.start_attempt(req, attempt, Some(worker)) else {
            return;
        };
        let sent = BackendAttempt {
            req,
            attempt,
            worker,
            origin,
            needs_new_connection: dispatch.needs_new_connection,
        };
        self.schedule_step(BACKEND_LATENCY, TrafficStep::AtBackend { sent });
        if dispatch.first_byte_timeout < dispatch.timeout {
            self.schedule_end(dispatch.first_byte_timeout, req, attempt, Outcome::Silent);
        } else {
            self.schedule_end(dispatch.timeout, req, attempt, Outcome::CutShort);
        }
    }

    /// Forwards a request from a node to another node.
    pub(crate) fn forward(&mut self, forward: &Forward) {
        let (req, attempt, to) = (forward.req, forward.attempt, forward.node);
        let Some(origin) = self.traffic.start_attempt(req, attempt, None) else {
            return;
        };
        self.schedule_end(forward.timeout, req, attempt, Outcome::CutShort);
        let from = self.traffic.hops.get(&req).map(|hop| hop.node);
        let (Some(a), Some(b)) = (
            from.and_then(|from| self.locations.get(&from).copied()),
            self.locations.get(&to).copied(),
        ) else {
            return;
        };
        if a.region != b.region {
            self.costs.cross_region_requests += 1;
        }
        let latency = self.links.latency(&a, &b);
        let start = self.current_start(to);
        if start == 0 || !self.links.connects(self.now, &a, &b) {
            self.schedule_end(latency * 2, req, attempt, Outcome::NotSent);
            return;
        }
        let child = self.traffic.add(new_hop(to, start, origin, Some(req)));
        self.schedule_step(latency, TrafficStep::ArrivesForwarded { req, child });
    }

    /// Schedules the end of an attempt without a body. It has no effect if the attempt has ended before.
    fn schedule_end(&mut self, after: Duration, req: ReqId, attempt: u32, outcome: Outcome) {
        let step = TrafficStep::Finished {
            req,
            attempt,
            outcome,
            body: None,
        };
        self.schedule_step(after, step);
    }

    /// Runs a request on a backend server and schedules the end of its work. Requests are dropped on silent
    /// connections, and delayed if the worker is paused.
    fn reach_backend(&mut self, sent: BackendAttempt) {
        let worker = sent.worker;
        let silent_until = self.traffic.silent_until.get(&worker).copied();
        if !sent.needs_new_connection && silent_until.is_some_and(|until| self.now < until) {
            return;
        }
        if self.is_worker_paused(worker) {
            let until = self.worker_paused_until(worker);
            let step = TrafficStep::AtBackend { sent };
            self.queue.push(until, SimEvent::Traffic(step));
            return;
        }
        let Some((service, key, _)) = self.service_of(sent.origin) else {
            return;
        };
        self.platform.advance(self.now);
        let fake = self.platform.worker_mut(worker);
        if !fake.is_some_and(|fake| !fake.is_dead() && fake.serves(&service)) {
            self.schedule_end(BACKEND_LATENCY, sent.req, sent.attempt, Outcome::NotSent);
            return;
        }
        self.records.executions.push(Execution {
            worker,
            try_id: sent.origin,
            service,
            key,
            began: self.now,
        });
        let duration = self.traffic.draw_service_time() + BACKEND_LATENCY;
        let cut_short = self.traffic.cut_short_per_mille;
        let outcome = if self.traffic.rng.chance(cut_short) {
            Outcome::CutShort
        } else {
            Outcome::Answered
        };
        let deaths = self.traffic.worker_deaths(worker);
        self.schedule_step(
            duration,
            TrafficStep::BackendDone {
                sent,
                deaths,
                outcome,
            },
        );
    }

    /// Delivers an attempt's outcome to the node that made the attempt, after the pause if the node is paused.
    fn finish_attempt(&mut self, req: ReqId, attempt: u32, outcome: Outcome, body: Option<TryId>) {
        let node = self.traffic.hops.get(&req).map(|hop| hop.node);
        let process = node.and_then(|node| self.processes.get(&node));
        if let Some(until) = process.and_then(super::process::Process::paused_until) {
            let step = TrafficStep::Finished {
                req,
                attempt,
                outcome,
                body,
            };
            let at = until.max(self.now + BACKEND_LATENCY);
            self.queue.push(at, SimEvent::Traffic(step));
            return;
        }
        let Some(hop) = self.traffic.end_attempt(req, attempt) else {
            return;
        };
        if outcome == Outcome::Answered {
            self.traffic.hops.remove(&req);
            self.return_answer(&hop, body);
        }
        let stored = body.filter(|_| outcome == Outcome::Answered);
        let end = AttemptEnd {
            answer: stored.map(stored_answer),
            ..AttemptEnd::new(req, attempt, outcome)
        };
        self.deliver_event(hop.node, hop.start, Event::AttemptFinished(end));
    }

    /// Answers a request with the stored answer to an earlier request with the same key.
    pub(crate) fn answer_stored(&mut self, req: ReqId, answer: &StoredAnswer) {
        let Some(hop) = self.traffic.hops.remove(&req) else {
            return;
        };
        let body = answer.body.as_slice().try_into().ok();
        self.return_answer(&hop, body.map(|bytes| TryId(u64::from_be_bytes(bytes))));
    }

    /// Returns a complete answer to the forwarding node, or to the caller.
    fn return_answer(&mut self, hop: &Hop, body: Option<TryId>) {
        if let Some(parent) = hop.parent {
            self.answer_parent(hop, parent, Outcome::Answered, body);
            return;
        }
        let mut answer = self.new_answer(Verdict::Ran, "");
        answer.at = self.now + CALLER_LATENCY;
        answer.body_of = body;
        answer.is_complete = body.is_some();
        self.caller_answered(hop.origin, answer, None);
    }

    /// Refuses a request, or reports that its outcome is unknown.
    pub(crate) fn refuse(
        &mut self,
        req: ReqId,
        verdict: Verdict,
        reason: &str,
        retry_after: Option<Duration>,
    ) {
        let Some(hop) = self.traffic.hops.remove(&req) else {
            return;
        };
        if let Some(worker) = hop.worker {
            self.traffic.request_closed(worker);
        }
        if let Some(parent) = hop.parent {
            let outcome = match verdict {
                Verdict::NotRun => Outcome::Declined,
                Verdict::MayHaveRun | Verdict::Ran => Outcome::CutShort,
            };
            self.answer_parent(&hop, parent, outcome, None);
            return;
        }
        let answer = self.new_answer(verdict, reason);
        self.caller_answered(hop.origin, answer, retry_after);
    }

    /// Sends an outcome back to the node that forwarded the request, if the two nodes can reach each other.
    fn answer_parent(&mut self, hop: &Hop, parent: ReqId, outcome: Outcome, body: Option<TryId>) {
        let Some(parent_hop) = self.traffic.hops.get(&parent) else {
            return;
        };
        let (attempt, parent_node) = (parent_hop.attempt, parent_hop.node);
        let (Some(a), Some(b)) = (
            self.locations.get(&hop.node),
            self.locations.get(&parent_node),
        ) else {
            return;
        };
        if !self.links.connects(self.now, a, b) {
            return;
        }
        let latency = self.links.latency(a, b);
        let step = TrafficStep::Finished {
            req: parent,
            attempt,
            outcome,
            body,
        };
        self.schedule_step(latency, step);
    }

    fn finish_parent_attempt(&mut self, parent: ReqId, outcome: Outcome, body: Option<TryId>) {
        let attempt = self.traffic.hops.get(&parent).map(|hop| hop.attempt);
        if let Some(attempt) = attempt {
            self.finish_attempt(parent, attempt, outcome, body);
        }
    }

    /// Drops the requests at a node whose process has ended. The callers or forwarding nodes see broken connections.
    pub(crate) fn drop_requests_of(&mut self, node: NodeId) {
        let of_node = |(req, hop): (&ReqId, &Hop)| (hop.node == node).then_some(*req);
        let reqs: Vec<ReqId> = self.traffic.hops.iter().filter_map(of_node).collect();
        for req in reqs {
            let Some(hop) = self.traffic.hops.remove(&req) else {
                continue;
            };
            if let Some(worker) = hop.worker {
                self.traffic.request_closed(worker);
            }
            match hop.parent {
                Some(parent) => self.answer_parent(&hop, parent, Outcome::CutShort, None),
                None => self.connection_lost(hop.origin),
            }
        }
    }

    /// Returns the requests that have arrived at a node and have no answer yet.
    pub(crate) fn open_tries_of(&self, node: NodeId) -> Vec<TryId> {
        let hops = self.traffic.hops.values();
        let open = hops.filter(|hop| hop.node == node && hop.has_arrived);
        open.map(|hop| hop.origin).collect()
    }

    fn schedule_step(&mut self, after: Duration, step: TrafficStep) {
        self.queue.push(self.now + after, SimEvent::Traffic(step));
    }
}

/// Returns the answer that a node stores for resends. Its body is the id of the try that was run.
fn stored_answer(body: TryId) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.0.to_be_bytes().to_vec(),
    }
}

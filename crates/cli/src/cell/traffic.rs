//! Requests on their way through nodes to backend servers, and their answers on the way back.

use std::time::Duration;

use model::{NodeId, Verdict};
use node::Event;
use route::{AttemptEnd, Dispatch, Forward, IncomingRequest, Outcome, ReqId, StoredAnswer};

use super::{
    Cell, Happening,
    callers::{CALLER_LATENCY, Errand},
    hops::{Hop, Sent, hop},
    records::{Execution, TryId},
};

/// The time between a node and a backend server of its domain.
const BACKEND_LATENCY: Duration = Duration::from_millis(1);
/// A step of a request's way.
#[derive(Clone, Debug)]
pub(crate) enum TrafficStep {
    NextCaller(usize),
    Again(Errand),
    CallerGivesUp(TryId),
    Arrives {
        id: TryId,
        node: NodeId,
    },
    ArrivesForwarded {
        req: ReqId,
        child: ReqId,
    },
    AtBackend {
        sent: Sent,
    },
    BackendDone {
        sent: Sent,
        deaths: u32,
        how: Outcome,
    },
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
            TrafficStep::NextCaller(i) => self.next_caller(i),
            TrafficStep::Again(errand) => self.send_try(errand),
            TrafficStep::CallerGivesUp(id) => self.caller_gives_up(id),
            TrafficStep::Arrives { id, node } => self.arrives(id, node),
            TrafficStep::ArrivesForwarded { req, child } => self.arrives_forwarded(req, child),
            TrafficStep::AtBackend { sent } => self.at_backend(sent),
            TrafficStep::BackendDone { sent, deaths, how } => {
                self.traffic.backend_done(&sent);
                let died = self.traffic.deaths(sent.worker) != deaths;
                let how = if died { Outcome::CutShort } else { how };
                let body = (how == Outcome::Answered).then_some(sent.origin);
                self.finished(sent.req, sent.attempt, how, body);
            }
            TrafficStep::Finished {
                req,
                attempt,
                outcome,
                body,
            } => self.finished(req, attempt, outcome, body),
        }
    }

    fn arrives(&mut self, id: TryId, node: NodeId) {
        let start = self.start_of(node);
        if start == 0 {
            self.caller_lost(id);
            return;
        }
        let req = self.traffic.add(hop(node, start, id, None));
        self.request_event(req, node, start, id, false);
    }

    fn arrives_forwarded(&mut self, parent: ReqId, child: ReqId) {
        let Some(hop) = self.traffic.hops.get(&child).cloned() else {
            return;
        };
        if self.runs(hop.node, hop.start) {
            self.request_event(child, hop.node, hop.start, hop.origin, true);
        } else {
            self.traffic.hops.remove(&child);
            self.parent_finished(parent, Outcome::CutShort, None);
        }
    }

    fn request_event(
        &mut self,
        req: ReqId,
        node: NodeId,
        start: u64,
        id: TryId,
        is_forwarded: bool,
    ) {
        if let Some(hop) = self.traffic.hops.get_mut(&req) {
            hop.arrived = true;
        }
        if let Some((service, key, _)) = self.service_of(id) {
            let offer = IncomingRequest {
                req,
                service,
                key,
                is_forwarded,
                ..IncomingRequest::default()
            };
            self.event(node, start, Event::Request(offer));
        }
    }

    /// A node sends a request to a backend server.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch) {
        let (req, attempt, worker) = (dispatch.req, dispatch.attempt, dispatch.worker);
        let Some(origin) = self.traffic.sent(req, attempt, Some(worker)) else {
            return;
        };
        let sent = Sent {
            req,
            attempt,
            worker,
            origin,
            fresh: dispatch.needs_new_connection,
        };
        self.step(BACKEND_LATENCY, TrafficStep::AtBackend { sent });
        if dispatch.first_byte_timeout < dispatch.timeout {
            self.ends_after(dispatch.first_byte_timeout, req, attempt, Outcome::Silent);
        } else {
            self.ends_after(dispatch.timeout, req, attempt, Outcome::CutShort);
        }
    }

    /// A node passes a request on to another node.
    pub(crate) fn forward(&mut self, forward: &Forward) {
        let (req, attempt, to) = (forward.req, forward.attempt, forward.node);
        let Some(origin) = self.traffic.sent(req, attempt, None) else {
            return;
        };
        self.ends_after(forward.timeout, req, attempt, Outcome::CutShort);
        let from = self.traffic.hops.get(&req).map(|hop| hop.node);
        let (Some(a), Some(b)) = (
            from.and_then(|from| self.places.get(&from).copied()),
            self.places.get(&to).copied(),
        ) else {
            return;
        };
        if a.region != b.region {
            self.costs.cross_region_requests += 1;
        }
        let latency = self.links.latency(&a, &b);
        let start = self.start_of(to);
        if start == 0 || !self.links.connects(self.now, &a, &b) {
            self.ends_after(latency * 2, req, attempt, Outcome::NotSent);
            return;
        }
        let child = self.traffic.add(hop(to, start, origin, Some(req)));
        self.step(latency, TrafficStep::ArrivesForwarded { req, child });
    }

    /// An attempt ends without a body, if it has not ended by then.
    fn ends_after(&mut self, after: Duration, req: ReqId, attempt: u32, outcome: Outcome) {
        let step = TrafficStep::Finished {
            req,
            attempt,
            outcome,
            body: None,
        };
        self.step(after, step);
    }

    fn at_backend(&mut self, sent: Sent) {
        let worker = sent.worker;
        let silent_until = self.traffic.silent.get(&worker).copied();
        if !sent.fresh && silent_until.is_some_and(|until| self.now < until) {
            return;
        }
        if self.is_worker_paused(worker) {
            let until = self.worker_paused_until(worker);
            let step = TrafficStep::AtBackend { sent };
            self.queue.push(until, Happening::Traffic(step));
            return;
        }
        let Some((service, key, _)) = self.service_of(sent.origin) else {
            return;
        };
        self.platform.advance(self.now);
        let fake = self.platform.worker_mut(worker);
        if !fake.is_some_and(|fake| !fake.is_dead() && fake.serves(&service)) {
            self.ends_after(BACKEND_LATENCY, sent.req, sent.attempt, Outcome::NotSent);
            return;
        }
        self.records.executions.push(Execution {
            worker,
            try_id: sent.origin,
            service,
            key,
            began: self.now,
        });
        let takes = self.traffic.service_time() + BACKEND_LATENCY;
        let cut_short = self.traffic.cut_short_per_mille;
        let how = if self.traffic.rng.chance(cut_short) {
            Outcome::CutShort
        } else {
            Outcome::Answered
        };
        let deaths = self.traffic.deaths(worker);
        self.step(takes, TrafficStep::BackendDone { sent, deaths, how });
    }

    /// An attempt's outcome reaches the node that sent it. It waits for a paused node.
    fn finished(&mut self, req: ReqId, attempt: u32, outcome: Outcome, body: Option<TryId>) {
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
            self.queue.push(at, Happening::Traffic(step));
            return;
        }
        let Some(hop) = self.traffic.arrived(req, attempt) else {
            return;
        };
        if outcome == Outcome::Answered {
            self.traffic.hops.remove(&req);
            self.answered(&hop, body);
        }
        let kept = body.filter(|_| outcome == Outcome::Answered);
        let end = AttemptEnd {
            answer: kept.map(kept_answer),
            ..AttemptEnd::new(req, attempt, outcome)
        };
        self.event(hop.node, hop.start, Event::AttemptFinished(end));
    }

    /// A node answers with what was kept of an earlier request with the same key.
    pub(crate) fn answer_kept(&mut self, req: ReqId, answer: &StoredAnswer) {
        let Some(hop) = self.traffic.hops.remove(&req) else {
            return;
        };
        let body = answer.body.as_slice().try_into().ok();
        self.answered(&hop, body.map(|bytes| TryId(u64::from_be_bytes(bytes))));
    }

    /// Passes a whole answer back towards its caller.
    fn answered(&mut self, hop: &Hop, body: Option<TryId>) {
        if let Some(parent) = hop.parent {
            self.answer_parent(hop, parent, Outcome::Answered, body);
            return;
        }
        let mut answer = self.answer_now(Verdict::Ran, "");
        answer.at = self.now + CALLER_LATENCY;
        answer.body_of = body;
        answer.is_complete = body.is_some();
        self.caller_answered(hop.origin, answer, None);
    }

    /// A node refuses a request, or says that its outcome is not known.
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
            self.traffic.closed(worker);
        }
        if let Some(parent) = hop.parent {
            let outcome = match verdict {
                Verdict::NotRun => Outcome::Declined,
                Verdict::MayHaveRun | Verdict::Ran => Outcome::CutShort,
            };
            self.answer_parent(&hop, parent, outcome, None);
            return;
        }
        let answer = self.answer_now(verdict, reason);
        self.caller_answered(hop.origin, answer, retry_after);
    }

    /// Sends an outcome back to the node that passed the request on, if the link still stands.
    fn answer_parent(&mut self, hop: &Hop, parent: ReqId, outcome: Outcome, body: Option<TryId>) {
        let Some(up) = self.traffic.hops.get(&parent) else {
            return;
        };
        let (attempt, up) = (up.attempt, up.node);
        let (Some(a), Some(b)) = (self.places.get(&hop.node), self.places.get(&up)) else {
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
        self.step(latency, step);
    }

    fn parent_finished(&mut self, parent: ReqId, outcome: Outcome, body: Option<TryId>) {
        let attempt = self.traffic.hops.get(&parent).map(|hop| hop.attempt);
        if let Some(attempt) = attempt {
            self.finished(parent, attempt, outcome, body);
        }
    }

    /// The connections of a node that has ended are gone.
    pub(crate) fn drop_requests_of(&mut self, node: NodeId) {
        let mine = |(req, hop): (&ReqId, &Hop)| (hop.node == node).then_some(*req);
        let reqs: Vec<ReqId> = self.traffic.hops.iter().filter_map(mine).collect();
        for req in reqs {
            let Some(hop) = self.traffic.hops.remove(&req) else {
                continue;
            };
            if let Some(worker) = hop.worker {
                self.traffic.closed(worker);
            }
            match hop.parent {
                Some(parent) => self.answer_parent(&hop, parent, Outcome::CutShort, None),
                None => self.caller_lost(hop.origin),
            }
        }
    }

    /// The requests that a node has not answered yet.
    pub(crate) fn open_tries_of(&self, node: NodeId) -> Vec<TryId> {
        let hops = self.traffic.hops.values();
        let open = hops.filter(|hop| hop.node == node && hop.arrived);
        open.map(|hop| hop.origin).collect()
    }

    fn step(&mut self, after: Duration, step: TrafficStep) {
        self.queue.push(self.now + after, Happening::Traffic(step));
    }
}

/// What is kept of a whole answer: which try it answers.
fn kept_answer(body: TryId) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.0.to_be_bytes().to_vec(),
    }
}

//! Requests on their way through nodes to backend servers, and their answers on the way back.

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{NodeId, Time, Verdict, WorkerId};
use node::Event;
use route::{AttemptEnd, Offer, Outcome, ReqId, StoredAnswer};

use super::{
    Cell, Happening,
    callers::{CALLER_LATENCY, Errand},
    records::{Execution, TryId},
};

/// The time between a node and a backend server of its domain.
const BACKEND_LATENCY: Duration = Duration::from_millis(1);
/// The shortest time that a backend server takes.
const SERVICE_MIN: Duration = Duration::from_millis(5);
/// The longest time that a backend server takes as a rule.
const SERVICE_MAX: Duration = Duration::from_millis(40);
/// The longest time that a backend server takes now and then, past any deadline.
const SERVICE_LATE: Duration = Duration::from_secs(12);

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

/// A request that was sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    req: ReqId,
    attempt: u32,
    worker: WorkerId,
    origin: TryId,
}

/// A request at one node.
#[derive(Clone, Debug)]
struct Hop {
    node: NodeId,
    start: u64,
    origin: TryId,
    /// The request at the node that passed it on.
    parent: Option<ReqId>,
    /// Counts how often the node sent it somewhere; answers of earlier attempts come too late.
    attempt: u32,
    /// Where it is, if its answer is still awaited.
    worker: Option<WorkerId>,
    awaited: bool,
}

/// All requests on their way.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    rng: Rng,
    lost_per_mille: u32,
    late_per_mille: u32,
    cut_short_per_mille: u32,
    hops: BTreeMap<ReqId, Hop>,
    last_req: u64,
    errands: BTreeMap<TryId, Errand>,
    open: BTreeMap<WorkerId, (u32, u32)>,
    deaths: BTreeMap<WorkerId, u32>,
    silent: BTreeMap<WorkerId, Time>,
}

impl Traffic {
    pub(crate) fn new(seed: u64, level: FaultLevel) -> Self {
        let (lost_per_mille, late_per_mille, cut_short_per_mille) = match level {
            FaultLevel::None => (0, 0, 0),
            FaultLevel::Some => (2, 2, 2),
            FaultLevel::Many => (15, 10, 10),
        };
        Self {
            rng: Rng::new(seed ^ 0x7472_6166),
            lost_per_mille,
            late_per_mille,
            cut_short_per_mille,
            hops: BTreeMap::new(),
            last_req: 0,
            errands: BTreeMap::new(),
            open: BTreeMap::new(),
            deaths: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    pub(crate) fn remember(&mut self, id: TryId, errand: Errand) {
        self.errands.insert(id, errand);
    }

    pub(crate) fn take(&mut self, id: TryId) -> Option<Errand> {
        self.errands.remove(&id)
    }

    pub(crate) fn forget(&mut self, id: TryId) {
        self.errands.remove(&id);
    }

    pub(crate) fn is_open(&self) -> bool {
        !(self.hops.is_empty() && self.errands.is_empty())
    }

    pub(crate) fn loses_answer(&mut self) -> bool {
        self.rng.chance(self.lost_per_mille)
    }

    /// The most requests that nodes had open at a backend server at a time.
    pub(crate) fn peak_open(&self, worker: WorkerId) -> u32 {
        self.open.get(&worker).map_or(0, |(_, peak)| *peak)
    }

    pub(crate) fn worker_died(&mut self, worker: WorkerId) {
        *self.deaths.entry(worker).or_default() += 1;
    }

    pub(crate) fn silence(&mut self, worker: WorkerId, until: Time) {
        self.silent.insert(worker, until);
    }

    fn deaths(&self, worker: WorkerId) -> u32 {
        self.deaths.get(&worker).copied().unwrap_or_default()
    }

    fn add(&mut self, hop: Hop) -> ReqId {
        self.last_req += 1;
        let req = ReqId(self.last_req);
        self.hops.insert(req, hop);
        req
    }

    fn opened(&mut self, worker: WorkerId) {
        let (open, peak) = self.open.entry(worker).or_default();
        *open += 1;
        *peak = (*peak).max(*open);
    }

    fn closed(&mut self, worker: WorkerId) {
        let (open, _) = self.open.entry(worker).or_default();
        *open = open.saturating_sub(1);
    }

    fn service_time(&mut self) -> Duration {
        if self.rng.chance(self.late_per_mille) {
            self.rng.span(SERVICE_MAX, SERVICE_LATE)
        } else {
            self.rng.span(SERVICE_MIN, SERVICE_MAX)
        }
    }

    /// Marks a hop as sent somewhere, and returns its attempt.
    fn sent(&mut self, req: ReqId, worker: Option<WorkerId>) -> Option<(u32, TryId)> {
        let hop = self.hops.get_mut(&req)?;
        hop.attempt += 1;
        hop.awaited = true;
        hop.worker = worker;
        let (attempt, origin) = (hop.attempt, hop.origin);
        if let Some(worker) = worker {
            self.opened(worker);
        }
        Some((attempt, origin))
    }

    /// The backend server has done with a request, whether or not its node reads the answer.
    fn backend_done(&mut self, sent: &Sent) {
        let hop = self.hops.get_mut(&sent.req);
        let hop = hop.filter(|hop| hop.attempt == sent.attempt);
        if let Some(worker) = hop.and_then(|hop| hop.worker.take()) {
            self.closed(worker);
        }
    }

    /// Ends the wait for an attempt's answer. `None` if it comes too late.
    fn arrived(&mut self, req: ReqId, attempt: u32) -> Option<Hop> {
        let hop = self.hops.get_mut(&req)?;
        if hop.attempt != attempt || !hop.awaited {
            return None;
        }
        hop.awaited = false;
        let worker = hop.worker.take();
        let hop = hop.clone();
        if let Some(worker) = worker {
            self.closed(worker);
        }
        Some(hop)
    }
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

    fn request_event(&mut self, req: ReqId, node: NodeId, start: u64, id: TryId, forwarded: bool) {
        if let Some((service, key, _)) = self.service_of(id) {
            let offer = Offer {
                req,
                service,
                key,
                forwarded,
                ..Offer::default()
            };
            self.event(node, start, Event::Request(offer));
        }
    }

    /// A node sends a request to a backend server.
    pub(crate) fn dispatch(&mut self, req: ReqId, worker: WorkerId, timeout: Duration) {
        let Some((attempt, origin)) = self.traffic.sent(req, Some(worker)) else {
            return;
        };
        let sent = Sent {
            req,
            attempt,
            worker,
            origin,
        };
        self.step(BACKEND_LATENCY, TrafficStep::AtBackend { sent });
        self.times_out(req, attempt, timeout);
    }

    /// A node passes a request on to another node.
    pub(crate) fn forward(&mut self, req: ReqId, to: NodeId, timeout: Duration) {
        let Some((attempt, origin)) = self.traffic.sent(req, None) else {
            return;
        };
        self.times_out(req, attempt, timeout);
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
            let outcome = Outcome::NotSent;
            let body = None;
            self.step(
                latency * 2,
                TrafficStep::Finished {
                    req,
                    attempt,
                    outcome,
                    body,
                },
            );
            return;
        }
        let child = self.traffic.add(hop(to, start, origin, Some(req)));
        self.step(latency, TrafficStep::ArrivesForwarded { req, child });
    }

    fn times_out(&mut self, req: ReqId, attempt: u32, timeout: Duration) {
        let step = TrafficStep::Finished {
            req,
            attempt,
            outcome: Outcome::CutShort,
            body: None,
        };
        self.step(timeout, step);
    }

    fn at_backend(&mut self, sent: Sent) {
        let worker = sent.worker;
        let silent_until = self.traffic.silent.get(&worker).copied();
        if silent_until.is_some_and(|until| self.now < until) {
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
            let step = TrafficStep::Finished {
                req: sent.req,
                attempt: sent.attempt,
                outcome: Outcome::NotSent,
                body: None,
            };
            self.step(BACKEND_LATENCY, step);
            return;
        }
        self.records.executions.push(Execution {
            worker,
            of: sent.origin,
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
        self.event(hop.node, hop.start, Event::Finished(end));
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
        answer.whole = body.is_some();
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
        let hops = self.traffic.hops.values().filter(|hop| hop.node == node);
        hops.map(|hop| hop.origin).collect()
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

const fn hop(node: NodeId, start: u64, origin: TryId, parent: Option<ReqId>) -> Hop {
    Hop {
        node,
        start,
        origin,
        parent,
        attempt: 0,
        worker: None,
        awaited: false,
    }
}

//! Attempts: their beginning, their end and what follows.

use std::time::Duration;

use model::{Class, Repeat, Time, WorkerId};

use crate::{
    AttemptEnd, Dispatch, Forward, Outcome, Reason, ReqId, RouteAction, RouteConfig, Router,
    health::{Sign, as_us, average},
    request::{Phase, Request, Target},
    service::Service,
};

impl Router {
    /// Takes what an attempt needs, and begins it or its claim.
    pub(crate) fn begin(&mut self, now: Time, req: ReqId, target: Target) -> Option<RouteAction> {
        let request = self.requests.get_mut(&req)?;
        let service = self.services.get_mut(&request.service)?;
        self.in_flight += 1;
        match target {
            Target::Worker(worker) => {
                self.slots.take(worker, service.policy.class);
                service.health.entry(worker).or_default().began();
                request.charged_us = service.run_estimate_us();
                self.fair.charge(&service.flow, 0, request.charged_us);
                let needs_claim = service.policy.repeat == Repeat::Never && !request.claimed;
                if let Some(key) = request.key.clone().filter(|_| needs_claim) {
                    request.phase = Phase::Claiming { worker };
                    return Some(RouteAction::Claim {
                        req,
                        service: request.service.clone(),
                        key,
                        fingerprint: request.fingerprint,
                    });
                }
                let endpoint = service.endpoint(worker)?;
                let dispatch = request.dispatch(&self.cfg, now, service, worker, endpoint);
                Some(RouteAction::Dispatch(dispatch))
            }
            Target::Node { node, across } => {
                let peer = self.peers.entry(node).or_default();
                peer.in_flight += 1;
                peer.health.began();
                if across {
                    service.counters.forwarded_across += 1;
                } else {
                    service.counters.forwarded += 1;
                }
                let attempt = request.begin_attempt(now, target);
                let timeout = request.deadline.since(now);
                Some(RouteAction::Forward(Forward {
                    req,
                    attempt,
                    node,
                    timeout,
                }))
            }
        }
    }

    /// Takes the end of an attempt.
    pub fn attempt_finished(&mut self, now: Time, end: &AttemptEnd, out: &mut Vec<RouteAction>) {
        let Some(request) = self.requests.get(&end.req) else {
            return;
        };
        let Phase::Running {
            attempt,
            target,
            since,
        } = request.phase
        else {
            return;
        };
        if attempt != end.attempt {
            return;
        }
        let name = request.service.clone();
        let charged_us = request.charged_us;
        let took = now.since(since);
        self.leave(now, &name, target, end.outcome, took);
        if let Some(service) = self.services.get_mut(&name) {
            match target {
                Target::Worker(_) => {
                    let actual_us = as_us(took);
                    self.fair.charge(&service.flow, charged_us, actual_us);
                    if end.outcome == Outcome::Answered {
                        service.run_us = average(service.run_us, actual_us);
                    }
                }
                Target::Node { across: true, .. } => {
                    service.counters.cross_region_bytes += end.bytes;
                }
                Target::Node { across: false, .. } => {}
            }
        }
        self.after_attempt(now, end, out);
        self.pump(now, out);
    }

    /// Frees what an attempt held, and learns from its outcome.
    fn leave(&mut self, now: Time, name: &str, target: Target, outcome: Outcome, took: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let sign = match outcome {
            Outcome::Answered => Sign::Good(took),
            Outcome::Faulty
            | Outcome::NotSent
            | Outcome::CutShort
            | Outcome::Silent
            | Outcome::Broken => Sign::Bad,
            // A refusal for want of room is no failure, and a caller who goes away says nothing.
            Outcome::Declined | Outcome::CallerGone => Sign::None,
        };
        match target {
            Target::Worker(worker) => {
                if let Some(service) = self.services.get_mut(name) {
                    self.slots.release(worker, service.policy.class);
                    service.learn(now, &self.cfg, worker, sign);
                } else {
                    self.slots.release(worker, Class::Bulk);
                }
            }
            Target::Node { node, .. } => {
                let peer = self.peers.entry(node).or_default();
                peer.in_flight = peer.in_flight.saturating_sub(1);
                if peer.health.ended(&self.cfg.health, sign, None) {
                    peer.health.eject(now, &self.cfg.health);
                }
            }
        }
    }

    fn after_attempt(&mut self, now: Time, end: &AttemptEnd, out: &mut Vec<RouteAction>) {
        let req = end.req;
        match end.outcome {
            Outcome::Answered | Outcome::Faulty => {
                self.keep(req, end, true, out);
                self.close_request(req, |counters| counters.answered += 1);
            }
            Outcome::Broken | Outcome::CallerGone => {
                self.keep(req, end, false, out);
                self.close_request(req, |counters| counters.may_have_run += 1);
            }
            Outcome::NotSent | Outcome::Declined => {
                if !(end.is_replayable && self.retry(now, req)) {
                    let wait = self.cfg.retry_after;
                    let wait = self.retry_after(wait);
                    self.give_up(req, Reason::NoBackend, Some(wait), out);
                }
            }
            Outcome::CutShort | Outcome::Silent => {
                let safe = self.is_safe(req);
                if let Some(request) = self.requests.get_mut(&req) {
                    request.may_have_run = true;
                }
                if !(safe && end.is_replayable && self.retry(now, req)) {
                    self.give_up(req, Reason::AnswerLost, None, out);
                }
            }
        }
    }

    /// Keeps the answer with the request's claim, if it has one.
    fn keep(&self, req: ReqId, end: &AttemptEnd, whole: bool, out: &mut Vec<RouteAction>) {
        let claimed = self
            .requests
            .get(&req)
            .is_some_and(|request| request.claimed);
        if claimed && (whole || end.answer.is_some()) {
            out.push(RouteAction::KeepAnswer(req, end.answer.clone()));
        }
    }

    fn is_safe(&self, req: ReqId) -> bool {
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get(&request.service));
        service.is_some_and(|service| service.policy.repeat == Repeat::Safe)
    }

    /// Plans another attempt, if attempts, time and budget are left.
    fn retry(&mut self, now: Time, req: ReqId) -> bool {
        let Some(request) = self.requests.get_mut(&req) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&request.service) else {
            return false;
        };
        let most = self.cfg.backoff * (1 << request.attempts.clamp(1, 6));
        let wait = self.jitter.span(most / 2);
        let in_time = now + wait < request.give_up;
        if request.attempts >= self.cfg.max_attempts || !in_time || !service.budget.take() {
            return false;
        }
        service.counters.retries += 1;
        request.phase = Phase::Backoff;
        self.timers.remove(&(request.timer, req));
        request.timer = now + wait;
        self.timers.insert((request.timer, req));
        true
    }
}

impl Request {
    pub(crate) fn dispatch(
        &mut self,
        cfg: &RouteConfig,
        now: Time,
        service: &mut Service,
        worker: WorkerId,
        endpoint: String,
    ) -> Dispatch {
        let attempt = self.begin_attempt(now, Target::Worker(worker));
        service.counters.dispatched += 1;
        let timeout = self.deadline.since(now);
        let safe = service.policy.repeat == Repeat::Safe;
        // A safe request is tried elsewhere while half of its time is left.
        let patience = (timeout / 2).max(cfg.min_first_byte_timeout).min(timeout);
        Dispatch {
            req: self.id,
            attempt,
            worker,
            endpoint,
            timeout,
            first_byte_timeout: if safe { patience } else { timeout },
            needs_new_connection: !safe || attempt > 1,
            keep_answer: self.claimed,
        }
    }
}

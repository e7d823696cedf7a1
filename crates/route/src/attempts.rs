//! The start and end of attempts, and the decision to retry.

use std::time::Duration;

use model::{Class, Repeat, Time, WorkerId};

use crate::{
    AttemptEnd, Dispatch, Forward, Outcome, Reason, ReqId, RouteAction, RouteConfig, Router,
    health::{Observation, as_us, average},
    request::{Phase, Request, Target},
    service::Service,
};

impl Router {
    /// Acquires the slot of an attempt at a backend server, or counts the forward to a node, and starts the
    /// attempt or the claim that has to precede it.
    pub(crate) fn start_attempt(
        &mut self,
        now: Time,
        req: ReqId,
        target: Target,
    ) -> Option<RouteAction> {
        let request = self.requests.get_mut(&req)?;
        let service = self.services.get_mut(&request.service)?;
        self.in_flight += 1;
        match target {
            Target::Worker(worker) => {
                self.slots.acquire(worker, service.policy.class);
                service.health.entry(worker).or_default().attempt_started();
                request.charged_us = service.run_estimate_us();
                self.fair.charge(&service.flow, 0, request.charged_us);
                let needs_claim = service.policy.repeat == Repeat::Never && !request.is_claimed;
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
            Target::Node {
                node,
                is_other_region,
            } => {
                let peer = self.peers.entry(node).or_default();
                peer.in_flight += 1;
                peer.health.attempt_started();
                if is_other_region {
                    service.counters.forwarded_across += 1;
                } else {
                    service.counters.forwarded += 1;
                }
                let attempt = request.begin_attempt(now, target, service.policy.repeat);
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

    /// Handles the end of an attempt. The end of any attempt but the current one of its request is ignored.
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
        self.release_attempt(now, &name, target, end.outcome, took);
        if let Some(service) = self.services.get_mut(&name) {
            match target {
                Target::Worker(_) => {
                    let actual_us = as_us(took);
                    self.fair.charge(&service.flow, charged_us, actual_us);
                    if end.outcome == Outcome::Answered {
                        service.run_us = average(service.run_us, actual_us);
                    }
                }
                Target::Node {
                    is_other_region: true,
                    ..
                } => {
                    service.counters.cross_region_bytes += end.bytes;
                }
                Target::Node {
                    is_other_region: false,
                    ..
                } => {}
            }
        }
        self.after_attempt(now, end, out);
        self.dispatch_ready(now, out);
    }

    /// Releases the slot or the forward of an attempt, and updates the health of its target from the outcome.
    fn release_attempt(
        &mut self,
        now: Time,
        name: &str,
        target: Target,
        outcome: Outcome,
        took: Duration,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let observation = match outcome {
            Outcome::Answered => Observation::Success(took),
            Outcome::Faulty
            | Outcome::NotSent
            | Outcome::CutShort
            | Outcome::Silent
            | Outcome::Broken => Observation::Failure,
            // A refusal for lack of capacity is not a failure, and a caller that disconnects shows nothing
            // about the target.
            Outcome::Declined | Outcome::CallerGone => Observation::Neutral,
        };
        match target {
            Target::Worker(worker) => {
                if let Some(service) = self.services.get_mut(name) {
                    self.slots.release(worker, service.policy.class);
                    service.record_attempt(now, &self.cfg, worker, observation);
                } else {
                    self.slots.release(worker, Class::Bulk);
                }
            }
            Target::Node { node, .. } => {
                let peer = self.peers.entry(node).or_default();
                peer.in_flight = peer.in_flight.saturating_sub(1);
                if peer.health.record(&self.cfg.health, observation, None) {
                    peer.health.eject(now, &self.cfg.health);
                }
            }
        }
    }

    /// Ends the request or retries it, depending on the outcome of its attempt.
    fn after_attempt(&mut self, now: Time, end: &AttemptEnd, out: &mut Vec<RouteAction>) {
        let req = end.req;
        match end.outcome {
            Outcome::Answered | Outcome::Faulty => {
                self.keep_answer(req, end, true, out);
                self.remove_request(req, |counters| counters.answered += 1);
            }
            Outcome::Broken | Outcome::CallerGone => {
                self.keep_answer(req, end, false, out);
                self.remove_request(req, |counters| counters.may_have_run += 1);
            }
            Outcome::NotSent | Outcome::Declined => {
                if !(end.is_replayable && self.retry(now, req)) {
                    let wait = self.cfg.retry_after;
                    let wait = self.retry_after(wait);
                    self.give_up(req, Reason::NoBackend, Some(wait), out);
                }
            }
            Outcome::CutShort | Outcome::Silent => {
                let mut is_safe = false;
                if let Some(request) = self.requests.get_mut(&req) {
                    request.may_have_run = true;
                    is_safe = request.last_repeat == Repeat::Safe;
                }
                if !(is_safe && end.is_replayable && self.retry(now, req)) {
                    self.give_up(req, Reason::AnswerLost, None, out);
                }
            }
        }
    }

    /// Emits [`RouteAction::KeepAnswer`] if the request has a claim, and its whole answer was passed on to
    /// the caller or is available in [`AttemptEnd::answer`].
    fn keep_answer(
        &self,
        req: ReqId,
        end: &AttemptEnd,
        is_whole: bool,
        out: &mut Vec<RouteAction>,
    ) {
        let is_claimed = self
            .requests
            .get(&req)
            .is_some_and(|request| request.is_claimed);
        if is_claimed && (is_whole || end.answer.is_some()) {
            out.push(RouteAction::KeepAnswer(req, end.answer.clone()));
        }
    }

    /// Schedules another attempt after a randomized backoff, if it may start and attempts, time and retry
    /// budget are left. Returns whether it did.
    fn retry(&mut self, now: Time, req: ReqId) -> bool {
        let Some(request) = self.requests.get_mut(&req) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&request.service) else {
            return false;
        };
        if request.must_not_start(service) {
            return false;
        }
        let max_wait = self.cfg.backoff * (1 << request.attempts.clamp(1, 6));
        let wait = self.jitter.duration_up_to(max_wait / 2);
        let is_in_time = now + wait < request.start_by;
        if request.attempts >= self.cfg.max_attempts || !is_in_time || !service.budget.try_take() {
            return false;
        }
        service.counters.retries += 1;
        request.phase = Phase::Backoff;
        self.timers.remove(&(request.timer_at, req));
        request.timer_at = now + wait;
        self.timers.insert((request.timer_at, req));
        true
    }
}

impl Request {
    /// Begins an attempt at a backend server.
    pub(crate) fn dispatch(
        &mut self,
        cfg: &RouteConfig,
        now: Time,
        service: &mut Service,
        worker: WorkerId,
        endpoint: String,
    ) -> Dispatch {
        let attempt = self.begin_attempt(now, Target::Worker(worker), service.policy.repeat);
        service.counters.dispatched += 1;
        let timeout = self.deadline.since(now);
        let is_safe = self.last_repeat == Repeat::Safe;
        // A safe request that gets no answer is retried on another server while half of its time is left.
        let first_byte_timeout = (timeout / 2).max(cfg.min_first_byte_timeout).min(timeout);
        Dispatch {
            req: self.id,
            attempt,
            worker,
            endpoint,
            timeout,
            first_byte_timeout: if is_safe { first_byte_timeout } else { timeout },
            needs_new_connection: !is_safe || attempt > 1,
            keep_answer: self.is_claimed,
        }
    }
}

//! The ends of requests, and what is due at a point in time.

use std::time::Duration;

use model::{Time, Verdict};

use crate::{Reason, Refusal, ReqId, RouteAction, Router, ServiceCounters, request::Phase};

impl Router {
    /// Ends a request that no attempt is under way for.
    pub(crate) fn give_up(
        &mut self,
        req: ReqId,
        reason: Reason,
        retry_after: Option<Duration>,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        if request.may_have_run {
            self.end(req, Verdict::MayHaveRun, Reason::AnswerLost, None, out);
        } else if request.claimed {
            self.timers.remove(&(request.timer, req));
            request.timer = request.deadline;
            self.timers.insert((request.timer, req));
            request.phase = Phase::Voiding {
                reason,
                retry_after,
            };
            self.unqueue(req);
            out.push(RouteAction::VoidClaim(req));
        } else {
            self.end(req, Verdict::NotRun, reason, retry_after, out);
        }
    }

    /// Tells the caller the end.
    pub(crate) fn end(
        &mut self,
        req: ReqId,
        verdict: Verdict,
        reason: Reason,
        retry_after: Option<Duration>,
        out: &mut Vec<RouteAction>,
    ) {
        self.close_request(req, |counters| match verdict {
            Verdict::NotRun => counters.not_run += 1,
            Verdict::MayHaveRun => counters.may_have_run += 1,
            Verdict::Ran => counters.answered += 1,
        });
        out.push(RouteAction::Refuse(Refusal {
            req,
            verdict,
            reason,
            retry_after,
        }));
    }

    pub(crate) fn close_request(&mut self, req: ReqId, count: impl FnOnce(&mut ServiceCounters)) {
        self.unqueue(req);
        if let Some(request) = self.requests.remove(&req) {
            self.timers.remove(&(request.timer, req));
            if let Some(service) = self.services.get_mut(&request.service) {
                count(&mut service.counters);
            }
        }
    }

    fn unqueue(&mut self, req: ReqId) {
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get_mut(&request.service));
        let Some(service) = service else {
            return;
        };
        if let Some(i) = service.queue.iter().position(|queued| *queued == req) {
            service.queue.remove(i);
            if service.queue.is_empty() {
                self.fair.rest(&service.flow);
            }
        }
    }

    /// Does what is due: retries go back into their queues, and what cannot be run in time any more is
    /// given up.
    pub fn tick(&mut self, now: Time, out: &mut Vec<RouteAction>) {
        self.slots.tick(now);
        while let Some((at, req)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.remove(&(at, req));
            self.timer(now, req, out);
        }
        self.pump(now, out);
    }

    fn timer(&mut self, now: Time, req: ReqId, out: &mut Vec<RouteAction>) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        match request.phase {
            Phase::Queued if now < request.give_up => {
                request.timer = request.give_up;
                self.timers.insert((request.timer, req));
            }
            Phase::Queued => {
                let name = request.service.clone();
                let wait = self.services.get(&name);
                let wait = wait.map_or(Duration::ZERO, |service| self.expected_wait(now, service));
                let wait = self.retry_after(wait);
                self.give_up(req, Reason::TooLate, Some(wait), out);
            }
            Phase::Backoff => {
                request.phase = Phase::Queued;
                request.timer = request.give_up.max(now);
                self.timers.insert((request.timer, req));
                if let Some(service) = self.services.get_mut(&request.service) {
                    service.queue.push_front(req);
                    self.fair.wait(&service.flow);
                } else {
                    self.give_up(req, Reason::NoSuchService, None, out);
                }
            }
            Phase::Claiming { .. } | Phase::Voiding { .. } if now < request.deadline => {
                request.timer = request.deadline;
                self.timers.insert((request.timer, req));
            }
            Phase::Claiming { worker } => {
                // It will not run; the claim is voided once it is settled.
                self.release_claiming(req, worker);
                let verdict = Verdict::MayHaveRun;
                self.end(req, verdict, Reason::ClaimUncertain, None, out);
            }
            Phase::Voiding { .. } => {
                let verdict = Verdict::MayHaveRun;
                self.end(req, verdict, Reason::ClaimUncertain, None, out);
            }
            // The attempt's owner bounds its time and tells its end.
            Phase::Running { .. } => {}
        }
    }
}

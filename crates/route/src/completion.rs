//! The completion of requests without an answer, and the handling of timers.

use std::time::Duration;

use model::{Time, Verdict};

use crate::{Reason, Refusal, ReqId, RouteAction, Router, ServiceCounters, request::Phase};

impl Router {
    /// Ends a request for which no attempt is in flight.
    ///
    /// If it has a claim, the claim is voided first, and the caller is answered once that is done.
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
            self.refuse(req, Verdict::MayHaveRun, Reason::AnswerLost, None, out);
        } else if request.is_claimed {
            self.timers.remove(&(request.timer_at, req));
            request.timer_at = request.deadline;
            self.timers.insert((request.timer_at, req));
            request.phase = Phase::Voiding {
                reason,
                retry_after,
            };
            self.remove_from_queue(req);
            out.push(RouteAction::VoidClaim(req));
        } else {
            self.refuse(req, Verdict::NotRun, reason, retry_after, out);
        }
    }

    /// Removes a request, and refuses it with a verdict and a reason.
    pub(crate) fn refuse(
        &mut self,
        req: ReqId,
        verdict: Verdict,
        reason: Reason,
        retry_after: Option<Duration>,
        out: &mut Vec<RouteAction>,
    ) {
        self.remove_request(req, |counters| match verdict {
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

    /// Removes a request and its timer, and updates the counters of its service.
    pub(crate) fn remove_request(&mut self, req: ReqId, count: impl FnOnce(&mut ServiceCounters)) {
        self.remove_from_queue(req);
        if let Some(request) = self.requests.remove(&req) {
            self.timers.remove(&(request.timer_at, req));
            if let Some(service) = self.services.get_mut(&request.service) {
                count(&mut service.counters);
            }
        }
    }

    /// Removes a request from the queue of its service, if it is there.
    pub(crate) fn remove_from_queue(&mut self, req: ReqId) {
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get_mut(&request.service));
        let Some(service) = service else {
            return;
        };
        if let Some(i) = service.queue.iter().position(|queued| *queued == req) {
            service.queue.remove(i);
            if service.queue.is_empty() {
                self.fair.set_idle(&service.flow);
            }
        }
    }

    /// Handles all timers that are due: puts retries back into their queues, and gives up requests that
    /// can no longer run in time. Then starts all attempts that can be started.
    pub fn tick(&mut self, now: Time, out: &mut Vec<RouteAction>) {
        self.slots.tick(now);
        while let Some((at, req)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.remove(&(at, req));
            self.handle_timer(now, req, out);
        }
        self.dispatch_ready(now, out);
    }

    /// Handles the timer of one request.
    fn handle_timer(&mut self, now: Time, req: ReqId, out: &mut Vec<RouteAction>) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        match request.phase {
            Phase::Queued if now < request.start_by => {
                request.timer_at = request.start_by;
                self.timers.insert((request.timer_at, req));
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
                request.timer_at = request.start_by.max(now);
                self.timers.insert((request.timer_at, req));
                if let Some(service) = self.services.get_mut(&request.service) {
                    service.queue.push_front(req);
                    self.fair.set_backlogged(&service.flow);
                } else {
                    self.give_up(req, Reason::NoSuchService, None, out);
                }
            }
            Phase::Claiming { .. } | Phase::Voiding { .. } if now < request.deadline => {
                request.timer_at = request.deadline;
                self.timers.insert((request.timer_at, req));
            }
            Phase::Claiming { worker } => {
                // The request will not run. Its claim is voided once the result of the claim is known.
                self.release_claim_slot(req, worker);
                let verdict = Verdict::MayHaveRun;
                self.refuse(req, verdict, Reason::ClaimUncertain, None, out);
            }
            Phase::Voiding { .. } => {
                let verdict = Verdict::MayHaveRun;
                self.refuse(req, verdict, Reason::ClaimUncertain, None, out);
            }
            // The owner of the router enforces the attempt's timeout and reports its end.
            Phase::Running { .. } => {}
        }
    }
}

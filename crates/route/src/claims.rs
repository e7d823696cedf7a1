//! Claims of requests that must not be repeated.

use model::{Class, Time, Verdict, WorkerId};

use crate::{ClaimResult, Reason, ReqId, RouteAction, Router, request::Phase};

impl Router {
    /// Takes what became of a claim.
    pub fn claim_finished(
        &mut self,
        now: Time,
        req: ReqId,
        result: ClaimResult,
        out: &mut Vec<RouteAction>,
    ) {
        let claiming = self.requests.get(&req).map(|request| request.phase);
        let Some(Phase::Claiming { worker }) = claiming else {
            if result == ClaimResult::Claimed {
                // The caller was answered before; the request will not run.
                out.push(RouteAction::VoidClaim(req));
            }
            return;
        };
        match result {
            ClaimResult::Claimed => self.claim_made(now, req, worker, out),
            ClaimResult::Answered(answer) => {
                self.release_claiming(req, worker);
                self.close_request(req, |counters| counters.answered += 1);
                out.push(RouteAction::Answer(req, answer));
            }
            ClaimResult::Ran => {
                self.refuse_claim(req, worker, Verdict::Ran, Reason::EarlierRan, out);
            }
            ClaimResult::Uncertain => {
                let verdict = Verdict::MayHaveRun;
                self.refuse_claim(req, worker, verdict, Reason::EarlierUncertain, out);
            }
            ClaimResult::Mismatch => {
                self.refuse_claim(req, worker, Verdict::NotRun, Reason::KeyReused, out);
            }
            ClaimResult::Unreachable => {
                self.release_claiming(req, worker);
                let wait = self.retry_after(self.cfg.retry_after);
                self.give_up(req, Reason::PlatformUnreachable, Some(wait), out);
            }
        }
        self.pump(now, out);
    }

    /// The claim is made: the request goes to the server whose slot it holds, unless the server leaves
    /// or the grant has lapsed meanwhile; it then waits for another.
    fn claim_made(&mut self, now: Time, req: ReqId, worker: WorkerId, out: &mut Vec<RouteAction>) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.claimed = true;
        if now >= request.give_up {
            self.release_claiming(req, worker);
            let wait = self.retry_after(self.cfg.retry_after);
            self.give_up(req, Reason::TooLate, Some(wait), out);
            return;
        }
        let Some(service) = self.services.get_mut(&request.service) else {
            self.release_claiming(req, worker);
            self.give_up(req, Reason::NoSuchService, None, out);
            return;
        };
        let endpoint = service.endpoint(worker);
        let usable = self.slots.usable(now, worker, Class::Interactive) > 0;
        if let Some(endpoint) = endpoint.filter(|_| usable) {
            let dispatch = request.dispatch(&self.cfg, now, service, worker, endpoint);
            out.push(RouteAction::Dispatch(dispatch));
            return;
        }
        request.phase = Phase::Queued;
        service.queue.push_front(req);
        self.fair.wait(&service.flow);
        self.release_claiming(req, worker);
    }

    fn refuse_claim(
        &mut self,
        req: ReqId,
        worker: WorkerId,
        verdict: Verdict,
        reason: Reason,
        out: &mut Vec<RouteAction>,
    ) {
        self.release_claiming(req, worker);
        let retry_after = (verdict == Verdict::MayHaveRun).then_some(self.cfg.retry_after);
        self.end(req, verdict, reason, retry_after, out);
    }

    /// Frees the slot that was held during a claim.
    pub(crate) fn release_claiming(&mut self, req: ReqId, worker: WorkerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get_mut(&request.service));
        if let Some(service) = service {
            let charged_us = request.map_or(0, |request| request.charged_us);
            self.slots.release(worker, service.policy.class);
            self.fair.charge(&service.flow, charged_us, 0);
            service.released(worker);
        } else {
            self.slots.release(worker, Class::Bulk);
        }
    }

    /// Takes whether the claim of a request that was not run is void now. If that is not known, a
    /// resend may be told that the request may have run, so this caller is told so too.
    pub fn void_finished(&mut self, now: Time, req: ReqId, done: bool, out: &mut Vec<RouteAction>) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let Phase::Voiding {
            reason,
            retry_after,
        } = request.phase
        else {
            return;
        };
        if done {
            self.end(req, Verdict::NotRun, reason, retry_after, out);
        } else {
            self.end(req, Verdict::MayHaveRun, Reason::ClaimUncertain, None, out);
        }
        self.pump(now, out);
    }
}

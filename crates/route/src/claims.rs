//! Claims, which ensure that a request that must not be repeated runs at most once.
//!
//! Before such a request is sent, a claim with its idempotency key is committed to the platform's table,
//! which all nodes share.

use model::{Class, Time, Verdict, WorkerId};

use crate::{ClaimResult, Reason, ReqId, RouteAction, Router, request::Phase};

impl Router {
    /// Handles the result of a [`RouteAction::Claim`].
    pub fn claim_finished(
        &mut self,
        now: Time,
        req: ReqId,
        result: ClaimResult,
        out: &mut Vec<RouteAction>,
    ) {
        let phase = self.requests.get(&req).map(|request| request.phase);
        let Some(Phase::Claiming { worker }) = phase else {
            if result == ClaimResult::Claimed {
                // The caller has already been answered, so the request will not run.
                out.push(RouteAction::VoidClaim(req));
            }
            return;
        };
        match result {
            ClaimResult::Claimed => self.claim_granted(now, req, worker, out),
            ClaimResult::Answered(answer) => {
                self.release_claim_slot(req, worker);
                self.remove_request(req, |counters| counters.answered += 1);
                out.push(RouteAction::Answer(req, answer));
            }
            ClaimResult::Ran => {
                self.refuse_claimed(req, worker, Verdict::Ran, Reason::EarlierRan, out);
            }
            ClaimResult::Uncertain => {
                let verdict = Verdict::MayHaveRun;
                self.refuse_claimed(req, worker, verdict, Reason::EarlierUncertain, out);
            }
            ClaimResult::Mismatch => {
                self.refuse_claimed(req, worker, Verdict::NotRun, Reason::KeyReused, out);
            }
            ClaimResult::Unreachable => {
                self.release_claim_slot(req, worker);
                let wait = self.retry_after(self.cfg.retry_after);
                self.give_up(req, Reason::PlatformUnreachable, Some(wait), out);
            }
        }
        self.dispatch_ready(now, out);
    }

    /// Sends a claimed request to the backend server whose slot it holds. If the server was removed or
    /// its grant has expired in the meantime, the request is queued for another local slot.
    fn claim_granted(
        &mut self,
        now: Time,
        req: ReqId,
        worker: WorkerId,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.is_claimed = true;
        if now >= request.start_by {
            self.release_claim_slot(req, worker);
            let wait = self.retry_after(self.cfg.retry_after);
            self.give_up(req, Reason::TooLate, Some(wait), out);
            return;
        }
        let Some(service) = self.services.get_mut(&request.service) else {
            self.release_claim_slot(req, worker);
            self.give_up(req, Reason::NoSuchService, None, out);
            return;
        };
        let endpoint = service.endpoint(worker);
        let has_slots = self.slots.usable(now, worker, Class::Interactive) > 0;
        if let Some(endpoint) = endpoint.filter(|_| has_slots) {
            let dispatch = request.dispatch(&self.cfg, now, service, worker, endpoint);
            out.push(RouteAction::Dispatch(dispatch));
            return;
        }
        request.phase = Phase::Queued;
        service.queue.push_front(req);
        self.fair.set_backlogged(&service.flow);
        self.release_claim_slot(req, worker);
    }

    /// Releases the slot of a request whose key was used by an earlier request, and refuses the request.
    fn refuse_claimed(
        &mut self,
        req: ReqId,
        worker: WorkerId,
        verdict: Verdict,
        reason: Reason,
        out: &mut Vec<RouteAction>,
    ) {
        self.release_claim_slot(req, worker);
        let retry_after = (verdict == Verdict::MayHaveRun).then_some(self.cfg.retry_after);
        self.refuse(req, verdict, reason, retry_after, out);
    }

    /// Releases the slot that was held during a claim, and takes back the slot time that was charged.
    pub(crate) fn release_claim_slot(&mut self, req: ReqId, worker: WorkerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get_mut(&request.service));
        if let Some(service) = service {
            let charged_us = request.map_or(0, |request| request.charged_us);
            self.slots.release(worker, service.policy.class);
            self.fair.charge(&service.flow, charged_us, 0);
            service.claim_slot_released(worker);
        } else {
            self.slots.release(worker, Class::Bulk);
        }
    }

    /// Handles the result of a [`RouteAction::VoidClaim`]: whether the claim of a request that was not run
    /// is void now.
    ///
    /// If that is unknown, a resend of the request may get the verdict that the request may have run. This
    /// caller then gets the same verdict.
    pub fn void_finished(
        &mut self,
        now: Time,
        req: ReqId,
        is_void: bool,
        out: &mut Vec<RouteAction>,
    ) {
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
        if is_void {
            self.refuse(req, Verdict::NotRun, reason, retry_after, out);
        } else {
            self.refuse(req, Verdict::MayHaveRun, Reason::ClaimUncertain, None, out);
        }
        self.dispatch_ready(now, out);
    }
}

//! The requests that wait for a decision of the router, and the execution of these decisions.

use std::{collections::BTreeMap, net::SocketAddr};

use model::Verdict;
use peer::Links;
use route::{AttemptEnd, Dispatch, Forward, Outcome, Reason, Refusal, ReqId, StoredAnswer};

use super::{Exchange, Proxy};

/// The requests of one node that wait for a decision of the router.
pub(in crate::daemon) struct PendingRequests {
    proxy: Proxy,
    requests: BTreeMap<ReqId, Exchange>,
}

impl PendingRequests {
    pub(in crate::daemon) const fn new(proxy: Proxy) -> Self {
        Self {
            proxy,
            requests: BTreeMap::new(),
        }
    }

    /// From now on, asks callers to close their connections.
    pub(in crate::daemon) fn close_connections(&self) {
        self.proxy.close_connections();
    }

    /// Returns whether no request is pending, no attempt is running and no answer is being written.
    pub(in crate::daemon) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.proxy.is_idle()
    }

    pub(in crate::daemon) fn add(&mut self, req: ReqId, exchange: Exchange) {
        self.requests.insert(req, exchange);
    }

    /// Sends a request to a backend server. Returns the attempt's end if the request no longer exists
    /// because the thread that held it panicked.
    pub(in crate::daemon) fn dispatch(&mut self, dispatch: Dispatch) -> Option<AttemptEnd> {
        let Some(exchange) = self.requests.remove(&dispatch.req) else {
            return Some(request_lost(dispatch.req, dispatch.attempt));
        };
        self.proxy.dispatch(exchange, dispatch);
        None
    }

    /// Forwards a request to another node. Returns the attempt's end if the node has no address or the
    /// request no longer exists.
    pub(in crate::daemon) fn forward(
        &mut self,
        links: &Links,
        forward: Forward,
        address: Option<SocketAddr>,
    ) -> Option<AttemptEnd> {
        let (req, attempt) = (forward.req, forward.attempt);
        let Some(address) = address else {
            return Some(AttemptEnd::new(req, attempt, Outcome::NotSent));
        };
        let Some(exchange) = self.requests.remove(&req) else {
            return Some(request_lost(req, attempt));
        };
        self.proxy.forward(links, exchange, forward, address);
        None
    }

    /// Answers with a stored answer.
    pub(in crate::daemon) fn answer(&mut self, req: ReqId, answer: StoredAnswer) {
        if let Some(exchange) = self.requests.remove(&req) {
            self.proxy.answer(exchange, answer);
        }
    }

    /// Answers with a refusal or an error.
    pub(in crate::daemon) fn refuse(&mut self, refusal: Refusal) {
        if let Some(exchange) = self.requests.remove(&refusal.req) {
            self.proxy.refuse(exchange, refusal);
        }
    }

    /// Takes back a request whose attempt ended without an answer. If the attempt ended because the
    /// caller's body could not be read, the caller is answered that the request may have run.
    pub(in crate::daemon) fn return_request(&mut self, end: &AttemptEnd, exchange: Exchange) {
        self.requests.insert(end.req, exchange);
        if end.outcome == Outcome::CallerGone {
            self.refuse(Refusal {
                req: end.req,
                verdict: Verdict::MayHaveRun,
                reason: Reason::AnswerLost,
                retry_after: None,
            });
        }
    }
}

/// Returns the end of an attempt whose request no longer exists.
const fn request_lost(req: ReqId, attempt: u32) -> AttemptEnd {
    AttemptEnd::new(req, attempt, Outcome::CallerGone)
}

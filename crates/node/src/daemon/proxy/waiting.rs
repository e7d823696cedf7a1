//! The requests that wait for a decision, and what is done with them once it is made.

use std::{collections::BTreeMap, net::SocketAddr};

use model::Verdict;
use peer::Links;
use route::{AttemptEnd, Dispatch, Forward, Outcome, Reason, Refusal, ReqId, StoredAnswer};

use super::{Exchange, Proxy};

/// The requests of one node that wait for a decision.
pub(in crate::daemon) struct Waiting {
    proxy: Proxy,
    requests: BTreeMap<ReqId, Exchange>,
}

impl Waiting {
    pub(in crate::daemon) const fn new(proxy: Proxy) -> Self {
        Self {
            proxy,
            requests: BTreeMap::new(),
        }
    }

    /// Tells callers from now on to close their connections.
    pub(in crate::daemon) fn close_connections(&self) {
        self.proxy.close_connections();
    }

    /// Whether no request waits and no answer is on its way.
    pub(in crate::daemon) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.proxy.is_idle()
    }

    pub(in crate::daemon) fn add(&mut self, req: ReqId, exchange: Exchange) {
        self.requests.insert(req, exchange);
    }

    /// Sends a request to a backend server. Returns the attempt's end if the request is gone: it was
    /// lost with a thread that has panicked.
    pub(in crate::daemon) fn dispatch(&mut self, dispatch: Dispatch) -> Option<AttemptEnd> {
        let Some(exchange) = self.requests.remove(&dispatch.req) else {
            return Some(gone(dispatch.req, dispatch.attempt));
        };
        self.proxy.dispatch(exchange, dispatch);
        None
    }

    /// Passes a request to another node, likewise. Without an address it is not sent.
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
            return Some(gone(req, attempt));
        };
        self.proxy.forward(links, exchange, forward, address);
        None
    }

    /// Answers with what was kept.
    pub(in crate::daemon) fn answer(&mut self, req: ReqId, answer: StoredAnswer) {
        if let Some(exchange) = self.requests.remove(&req) {
            self.proxy.answer(exchange, answer);
        }
    }

    /// Answers with a refusal or an error.
    pub(in crate::daemon) fn refuse(&mut self, refuse: Refusal) {
        if let Some(exchange) = self.requests.remove(&refuse.req) {
            self.proxy.refuse(exchange, refuse);
        }
    }

    /// Takes a request back whose attempt has ended without an answer. If the caller's own body has
    /// failed, it is told that what came of its request is not known.
    pub(in crate::daemon) fn take_back(&mut self, end: &AttemptEnd, exchange: Exchange) {
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

const fn gone(req: ReqId, attempt: u32) -> AttemptEnd {
    AttemptEnd::new(req, attempt, Outcome::CallerGone)
}

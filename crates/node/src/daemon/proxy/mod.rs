//! Callers' requests on their way to backend servers and other nodes.
//!
//! A request is read up to its body's first 64 KiB on an intake thread, then waits with the node's
//! actor, so that no thread is held while it is queued. Each attempt that the router decides runs on a
//! carrier thread, which tells the attempt's end and hands the request back if it is not answered.
//!
//! An answer of up to 64 KiB is read whole before its head is passed on, so that a cut one can be tried
//! again. A longer one streams through, in chunks where the caller speaks HTTP/1.1: if it is cut, the
//! chunked framing is broken, so that the caller cannot take it for whole.

mod answer;
mod attempt;
mod carriers;
mod exchange;
mod headers;
mod intake;
mod pass_on;
mod waiting;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use peer::{ForwardedRequest, Links};
use route::{AttemptEnd, Dispatch, Forward, IncomingRequest, Outcome, Refusal, StoredAnswer};
use stakker::sync::Channel;

use self::{attempt::Agents, carriers::Carriers};
pub(super) use self::{exchange::Exchange, waiting::Waiting};
use super::actor::Incoming;

/// How many attempts run at a time. More than the router lets be on their way, so that none waits.
const ATTEMPTS_MAX: usize = 512;
/// How many answers of the node itself are written at a time.
const ANSWERS_MAX: usize = 64;
/// How many requests of other nodes are read at a time.
const FORWARDED_MAX: usize = 64;

/// Takes requests in, carries them and answers them. Clones share their threads.
#[derive(Clone)]
pub(super) struct Proxy {
    channel: Channel<Incoming>,
    agents: Agents,
    attempts: Carriers,
    answers: Carriers,
    forwarded: Carriers,
    /// Whether callers are told to close their connections.
    closing: Arc<AtomicBool>,
}

impl Proxy {
    pub(super) fn new(channel: Channel<Incoming>) -> Self {
        Self {
            channel,
            agents: Agents::default(),
            attempts: Carriers::new("attempt", ATTEMPTS_MAX),
            answers: Carriers::new("answer", ANSWERS_MAX),
            forwarded: Carriers::new("forwarded", FORWARDED_MAX),
            closing: Arc::default(),
        }
    }

    /// Tells callers from now on to close their connections, with each answer.
    pub(super) fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether no answer is on its way.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_idle() && self.answers.is_idle() && self.forwarded.is_idle()
    }

    /// Takes a caller's request for `/s/<rest>`. Blocks until the first part of its body is read.
    pub(super) fn caller(&self, req: tiny_http::Request) {
        let closing = self.closing.load(Ordering::Relaxed);
        if let Some((offer, exchange)) = intake::caller(req, closing) {
            self.offer(offer, exchange);
        }
    }

    /// Takes a request that another node passes on.
    pub(super) fn forwarded(&self, req: ForwardedRequest) {
        let proxy = self.clone();
        self.forwarded.run(move || {
            if let Some((offer, exchange)) = intake::forwarded(req) {
                proxy.offer(offer, exchange);
            }
        });
    }

    fn offer(&self, offer: IncomingRequest, exchange: Exchange) {
        // Once the channel is closed, the process ends.
        self.channel.send(Incoming::Request { offer, exchange });
    }

    /// Sends a request to a backend server.
    pub(super) fn dispatch(&self, exchange: Exchange, dispatch: Dispatch) {
        let proxy = self.clone();
        self.attempts.run(move || {
            let end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::CallerGone);
            let telling = proxy.telling(end);
            telling.tell(attempt::dispatch(&proxy.agents, exchange, &dispatch));
        });
    }

    /// Passes a request to another node.
    pub(super) fn forward(
        &self,
        links: &Links,
        exchange: Exchange,
        forward: Forward,
        to: SocketAddr,
    ) {
        let proxy = self.clone();
        let links = links.clone();
        self.attempts.run(move || {
            let end = AttemptEnd::new(forward.req, forward.attempt, Outcome::CallerGone);
            let telling = proxy.telling(end);
            telling.tell(attempt::forward(&links, exchange, &forward, to));
        });
    }

    /// Answers with a refusal or an error.
    pub(super) fn refuse(&self, exchange: Exchange, refuse: Refusal) {
        self.answers.run(move || answer::refuse(exchange, &refuse));
    }

    /// Answers with what was kept.
    pub(super) fn answer(&self, exchange: Exchange, answer: StoredAnswer) {
        self.answers.run(move || answer::stored(exchange, &answer));
    }

    fn telling(&self, end: AttemptEnd) -> Telling {
        Telling {
            channel: self.channel.clone(),
            end: Some(end),
        }
    }
}

/// Tells the node the end of an attempt, also if the attempt's thread panics: its slot must not be held
/// for good.
struct Telling {
    channel: Channel<Incoming>,
    end: Option<AttemptEnd>,
}

impl Telling {
    fn tell(mut self, (end, exchange): (AttemptEnd, Option<Exchange>)) {
        self.end = None;
        self.channel.send(Incoming::Finished { end, exchange });
    }
}

impl Drop for Telling {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let exchange = None;
            self.channel.send(Incoming::Finished { end, exchange });
        }
    }
}

//! The proxy for callers' requests to backend servers and other nodes.
//!
//! A thread of the HTTP server reads a request's head and up to 64 KiB of its body. The request is then
//! held by the node's actor, so that it occupies no thread while it is queued. Each attempt that the
//! router starts runs on a thread of a pool, which reports the attempt's end to the actor and returns
//! the request if it has not been answered.
//!
//! An answer of up to 64 KiB is read completely before its head is passed on, so that the request can be
//! retried if the answer is truncated. A longer answer is streamed, with chunked encoding if the caller
//! uses HTTP/1.1. If it is truncated, an invalid chunk is written, so that the caller detects the error.

mod answer;
mod attempt;
mod exchange;
mod headers;
mod intake;
mod pass_on;
mod pending;
mod thread_pool;

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

use self::{attempt::Agents, pass_on::AttemptResult, thread_pool::ThreadPool};
pub(super) use self::{exchange::Exchange, pending::PendingRequests};
use super::actor::Incoming;

/// The maximum number of concurrent attempts. It exceeds the router's limit of attempts in flight, so
/// that no attempt waits for a thread.
const ATTEMPTS_MAX: usize = 512;
/// The maximum number of the node's own answers that are written concurrently.
const ANSWERS_MAX: usize = 64;
/// The maximum number of requests from other nodes that are read concurrently.
const FORWARDED_MAX: usize = 64;

/// Accepts requests, runs attempts and writes answers. Clones share their threads.
#[derive(Clone)]
pub(super) struct Proxy {
    channel: Channel<Incoming>,
    agents: Agents,
    attempts: ThreadPool,
    answers: ThreadPool,
    forwarded: ThreadPool,
    /// Whether answers ask callers to close their connections.
    is_closing: Arc<AtomicBool>,
}

impl Proxy {
    pub(super) fn new(channel: Channel<Incoming>) -> Self {
        Self {
            channel,
            agents: Agents::default(),
            attempts: ThreadPool::new("attempt", ATTEMPTS_MAX),
            answers: ThreadPool::new("answer", ANSWERS_MAX),
            forwarded: ThreadPool::new("forwarded", FORWARDED_MAX),
            is_closing: Arc::default(),
        }
    }

    /// From now on, asks callers with each answer to close their connections.
    pub(super) fn close_connections(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether no attempt is running and no answer is being written.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_idle() && self.answers.is_idle() && self.forwarded.is_idle()
    }

    /// Accepts a caller's request for `/s/<rest>`. Blocks until the first part of its body has been read.
    pub(super) fn caller(&self, req: tiny_http::Request) {
        let is_closing = self.is_closing.load(Ordering::Relaxed);
        if let Some((request, exchange)) = intake::caller(req, is_closing) {
            self.submit(request, exchange);
        }
    }

    /// Accepts a request that another node has forwarded.
    pub(super) fn forwarded(&self, req: ForwardedRequest) {
        let proxy = self.clone();
        self.forwarded.run(move || {
            if let Some((request, exchange)) = intake::forwarded(req) {
                proxy.submit(request, exchange);
            }
        });
    }

    fn submit(&self, request: IncomingRequest, exchange: Exchange) {
        // The channel closes only when the process ends, so the result can be ignored.
        self.channel.send(Incoming::Request { request, exchange });
    }

    /// Sends a request to a backend server.
    pub(super) fn dispatch(&self, exchange: Exchange, dispatch: Dispatch) {
        let proxy = self.clone();
        self.attempts.run(move || {
            let end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::CallerGone);
            let reporter = proxy.end_reporter(end);
            reporter.report(attempt::dispatch(&proxy.agents, exchange, &dispatch));
        });
    }

    /// Forwards a request to another node.
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
            let reporter = proxy.end_reporter(end);
            reporter.report(attempt::forward(&links, exchange, &forward, to));
        });
    }

    /// Answers with a refusal or an error.
    pub(super) fn refuse(&self, exchange: Exchange, refusal: Refusal) {
        self.answers.run(move || answer::refuse(exchange, &refusal));
    }

    /// Answers with a stored answer.
    pub(super) fn answer(&self, exchange: Exchange, answer: StoredAnswer) {
        self.answers.run(move || answer::stored(exchange, &answer));
    }

    fn end_reporter(&self, end: AttemptEnd) -> EndReporter {
        EndReporter {
            channel: self.channel.clone(),
            end: Some(end),
        }
    }
}

/// Reports the end of an attempt to the node, even if the attempt panics. Otherwise the attempt's slot
/// would never be released.
struct EndReporter {
    channel: Channel<Incoming>,
    end: Option<AttemptEnd>,
}

impl EndReporter {
    fn report(mut self, (end, exchange, answer): AttemptResult) {
        self.end = None;
        self.channel.send(Incoming::Finished { end, exchange });
        if let Some(answer) = answer {
            answer.write();
        }
    }
}

impl Drop for EndReporter {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let exchange = None;
            self.channel.send(Incoming::Finished { end, exchange });
        }
    }
}

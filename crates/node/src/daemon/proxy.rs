//! Callers' requests on their way to backend servers.

use std::{sync::mpsc, time::Duration};

use model::{NodeId, Verdict};
use route::Outcome;
use tiny_http::{Header, Request, Response, StatusCode};
use ureq::http;

use super::{
    actor::{Incoming, RouteAnswer},
    forward::drop_link_headers,
    http::{Shared, answer_header, header, respond},
};

/// The longest wait for the node's decision on a request.
const DECISION_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest answer that is passed on, in bytes.
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// Carries requests to backend servers.
#[derive(Debug)]
pub(super) struct Proxy {
    agent: ureq::Agent,
}

impl Default for Proxy {
    fn default() -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self { agent }
    }
}

impl Proxy {
    /// Handles a request for `/s/<rest>`.
    pub(super) fn handle(&self, shared: &Shared, rest: &str, req: Request) {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let (reply, rx) = mpsc::channel();
        let sent = shared.channel.send(Incoming::Request {
            service: service.to_owned(),
            key: header(&req, "idempotency-key"),
            forwarded: false,
            reply,
        });
        let decision = if sent {
            rx.recv_timeout(DECISION_TIMEOUT).ok()
        } else {
            None
        };
        match decision {
            Some(RouteAnswer::Dispatch {
                req: id,
                endpoint,
                timeout,
            }) => {
                let outcome = self.dispatch(req, &format!("{endpoint}/{path}"), timeout);
                shared.channel.send(Incoming::Finished(id, outcome));
            }
            Some(RouteAnswer::Refuse {
                verdict,
                reason,
                retry_after,
            }) => refuse(req, verdict, reason, retry_after),
            Some(RouteAnswer::Forward {
                req: id,
                node,
                address,
            }) => {
                let outcome = forward(shared, req, node, &address);
                shared.channel.send(Incoming::Finished(id, outcome));
            }
            None => refuse(req, Verdict::MayHaveRun, "the node gave no answer", None),
        }
    }

    fn dispatch(&self, req: Request, url: &str, timeout: Duration) -> Outcome {
        let call = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call();
        let answer = call.and_then(|mut resp| {
            let body = resp
                .body_mut()
                .with_config()
                .limit(ANSWER_MAX_BYTES)
                .read_to_vec();
            body.map(|body| (resp.status().as_u16(), body))
        });
        match answer {
            Ok((status, body)) => {
                let response = Response::from_data(body)
                    .with_status_code(StatusCode(status))
                    .with_header(answer_header("lacewing-verdict", Verdict::Ran.as_str()));
                respond(req, response);
                Outcome::Answered
            }
            Err(e) => {
                log::debug!("http: {url}: {e}");
                refuse(
                    req,
                    Verdict::MayHaveRun,
                    "the backend server's answer was lost",
                    None,
                );
                Outcome::CutShort
            }
        }
    }
}

/// Passes a request to another node, and its answer back.
fn forward(shared: &Shared, mut req: Request, node: NodeId, address: &str) -> Outcome {
    let Ok(address) = address.parse() else {
        refuse(req, Verdict::NotRun, "the other node has no address", None);
        return Outcome::NotSent;
    };
    let mut head = http::Request::builder()
        .method(req.method().as_str())
        .uri(req.url());
    for header in req.headers() {
        head = head.header(header.field.as_str().as_str(), header.value.as_str());
    }
    let Ok(mut head) = head.body(()) else {
        refuse(req, Verdict::NotRun, "a header is not valid", None);
        return Outcome::NotSent;
    };
    drop_link_headers(head.headers_mut());
    let body = req.as_reader();
    match shared.links.forward(node, address, head.map(|()| body)) {
        Ok(resp) => {
            let (parts, body) = resp.into_parts();
            let headers = parts
                .headers
                .iter()
                .filter_map(|(name, value)| {
                    Header::from_bytes(name.as_str(), value.as_bytes()).ok()
                })
                .collect();
            let status = StatusCode(parts.status.as_u16());
            respond(req, Response::new(status, headers, body, None, None));
            Outcome::Answered
        }
        Err(e) => {
            log::debug!("http: {node}: {e}");
            refuse(req, e.verdict(), "the other node's answer was lost", None);
            Outcome::CutShort
        }
    }
}

fn refuse(req: Request, verdict: Verdict, reason: &str, retry_after: Option<Duration>) {
    let status = match verdict {
        Verdict::NotRun => 503,
        Verdict::MayHaveRun | Verdict::Ran => 502,
    };
    let mut response = Response::from_string(format!("{reason}\n"))
        .with_status_code(status)
        .with_header(answer_header("lacewing-verdict", verdict.as_str()));
    if let Some(wait) = retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1).to_string();
        response = response.with_header(answer_header("retry-after", &seconds));
    }
    respond(req, response);
}

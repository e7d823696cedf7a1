//! Callers' requests that other nodes pass on to this one.

use std::{
    io::Cursor,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{self, Receiver, Sender},
    },
    thread,
    time::Duration,
};

use model::Verdict;
use peer::{AnswerWriter, BodyReader, ForwardedRequest};
use route::Outcome;
use stakker::sync::Channel;
use ureq::{
    SendBody,
    http::{HeaderMap, Request, Response, StatusCode, Uri},
};

use super::actor::{Incoming, RouteAnswer};

/// How many requests are handled at a time.
const THREADS: usize = 64;
/// The longest wait for the node's decision on a request.
const DECISION_TIMEOUT: Duration = Duration::from_secs(60);
/// The header that carries a verdict.
pub(super) const VERDICT_HEADER: &str = "lacewing-verdict";

/// The pool of threads that handle passed-on requests.
pub(super) struct Forwards {
    requests: Sender<ForwardedRequest>,
}

impl Forwards {
    pub(super) fn start(channel: &Channel<Incoming>) -> Self {
        let (requests, rx) = mpsc::channel();
        let rx = Arc::new(Mutex::new(rx));
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .new_agent();
        for _ in 0..THREADS {
            let rx = Arc::clone(&rx);
            let channel = channel.clone();
            let agent = agent.clone();
            thread::spawn(move || work(&rx, &channel, &agent));
        }
        Self { requests }
    }

    pub(super) fn handle(&self, req: ForwardedRequest) {
        // The threads outlive the pool, so the send does not fail.
        let _ = self.requests.send(req);
    }
}

fn work(rx: &Mutex<Receiver<ForwardedRequest>>, channel: &Channel<Incoming>, agent: &ureq::Agent) {
    loop {
        let req = rx.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(req) = req else {
            return;
        };
        handle(channel, agent, req);
    }
}

fn handle(channel: &Channel<Incoming>, agent: &ureq::Agent, forwarded: ForwardedRequest) {
    let ForwardedRequest { req, answer, .. } = forwarded;
    let path = req.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = path.strip_prefix("/s/").unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, rest) = (service.to_owned(), rest.to_owned());
    let key = req.headers().get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let (reply, rx) = mpsc::channel();
    let sent = channel.send(Incoming::Request {
        service,
        key,
        forwarded: true,
        reply,
    });
    if !sent {
        return refuse(answer, Verdict::NotRun, "the node shuts down", None);
    }
    match rx.recv_timeout(DECISION_TIMEOUT) {
        Ok(RouteAnswer::Dispatch {
            req: id,
            endpoint,
            timeout,
        }) => {
            let url = format!("{endpoint}/{rest}");
            let outcome = dispatch(agent, &url, timeout, req, answer);
            channel.send(Incoming::Finished(id, outcome));
        }
        Ok(RouteAnswer::Refuse {
            verdict,
            reason,
            retry_after,
        }) => refuse(answer, verdict, reason, retry_after),
        Ok(RouteAnswer::Forward { .. }) => {
            refuse(answer, Verdict::NotRun, "no backend server here", None);
        }
        Err(_) => refuse(answer, Verdict::MayHaveRun, "the node gave no answer", None),
    }
}

fn dispatch(
    agent: &ureq::Agent,
    url: &str,
    timeout: Duration,
    req: Request<BodyReader>,
    answer: AnswerWriter,
) -> Outcome {
    let result = url
        .parse::<Uri>()
        .map_err(|_| ureq::Error::HostNotFound)
        .and_then(|uri| call(agent, uri, timeout, req));
    match result {
        Ok(mut resp) => {
            set_verdict(resp.headers_mut(), Verdict::Ran);
            let (parts, body) = resp.into_parts();
            let sent = answer.answer(Response::from_parts(parts, body.into_reader()));
            if sent.is_ok() {
                Outcome::Answered
            } else {
                Outcome::CutShort
            }
        }
        Err(e) => {
            log::debug!("forward: {url}: {e}");
            refuse(
                answer,
                Verdict::MayHaveRun,
                "the backend server's answer was lost",
                None,
            );
            Outcome::CutShort
        }
    }
}

fn call(
    agent: &ureq::Agent,
    uri: Uri,
    timeout: Duration,
    req: Request<BodyReader>,
) -> Result<Response<ureq::Body>, ureq::Error> {
    let (mut parts, mut body) = req.into_parts();
    parts.uri = uri;
    drop_link_headers(&mut parts.headers);
    let req = Request::from_parts(parts, SendBody::from_reader(&mut body));
    let req = agent
        .configure_request(req)
        .timeout_global(Some(timeout))
        .build();
    agent.run(req)
}

/// Removes the headers that belong to one connection.
pub(super) fn drop_link_headers(headers: &mut HeaderMap) {
    const LINK_HEADERS: [&str; 9] = [
        "connection",
        "host",
        "keep-alive",
        "lacewing-node",
        "lacewing-token",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    for name in LINK_HEADERS {
        headers.remove(name);
    }
}

fn set_verdict(headers: &mut HeaderMap, verdict: Verdict) {
    drop_link_headers(headers);
    let value = ureq::http::HeaderValue::from_static(verdict.as_str());
    headers.insert(VERDICT_HEADER, value);
}

fn refuse(answer: AnswerWriter, verdict: Verdict, reason: &str, retry_after: Option<Duration>) {
    let status = match verdict {
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun | Verdict::Ran => StatusCode::BAD_GATEWAY,
    };
    let body = Cursor::new(format!("{reason}\n").into_bytes());
    let mut resp = Response::new(body);
    *resp.status_mut() = status;
    set_verdict(resp.headers_mut(), verdict);
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs().max(1);
        resp.headers_mut().insert("retry-after", seconds.into());
    }
    // The other node may have gone away.
    let _ = answer.answer(resp);
}

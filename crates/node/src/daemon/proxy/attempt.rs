//! Executes one attempt to run a request on a backend server or through another node.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::Verdict;
use peer::{LinkError, Links};
use route::{AttemptEnd, Dispatch, Forward, Outcome};
use ureq::{
    SendBody, Timeout,
    http::{HeaderMap, HeaderValue, Method, Request, Response, Uri},
};

use super::{
    exchange::Exchange,
    headers,
    pass_on::{AttemptResult, PassOnOptions, pass_on},
};

/// The maximum length of an answer's head, in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// The timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an unused connection is replaced, because it may have been lost without notice.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// The maximum number of idle connections to one backend server.
const IDLE_PER_SERVER: usize = 4;
/// The maximum number of idle connections in total.
const IDLE_CONNECTIONS: usize = 128;

/// The HTTP clients for backend servers.
#[derive(Clone, Debug)]
pub(super) struct Agents {
    /// Reuses connections.
    pooled: ureq::Agent,
    /// Opens a new connection for each request.
    unpooled: ureq::Agent,
}

impl Default for Agents {
    fn default() -> Self {
        Self {
            pooled: agent(IDLE_PER_SERVER),
            unpooled: agent(0),
        }
    }
}

fn agent(idle_per_server: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_response_header_size(HEAD_MAX_BYTES)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(if idle_per_server > 0 {
            IDLE_CONNECTIONS
        } else {
            0
        })
        .max_idle_connections_per_host(idle_per_server)
        .max_idle_age(IDLE_MAX)
        .build()
        .new_agent()
}

/// Sends a request to a backend server and passes the answer on to the requester.
pub(super) fn dispatch(
    agents: &Agents,
    mut exchange: Exchange,
    dispatch: &Dispatch,
) -> AttemptResult {
    let mut end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::NotSent);
    let deadline = Instant::now() + dispatch.timeout;
    let agent = if dispatch.needs_new_connection {
        &agents.unpooled
    } else {
        &agents.pooled
    };
    match call(agent, &mut exchange, dispatch) {
        Ok((resp, sent)) => {
            end.bytes = sent;
            let must_store = dispatch.keep_answer;
            let (parts, body) = resp.into_parts();
            let resp = Response::from_parts(parts, body.into_reader());
            let options = PassOnOptions {
                verdict: Verdict::Ran,
                is_from_backend: true,
                must_store,
                deadline,
            };
            pass_on(exchange, end, resp, options)
        }
        Err(outcome) => {
            end.outcome = outcome;
            end.is_replayable = exchange.body.is_replayable();
            (end, Some(exchange), None)
        }
    }
}

/// Makes the call. Returns the answer, with its body unread, and the number of body bytes sent.
fn call(
    agent: &ureq::Agent,
    exchange: &mut Exchange,
    dispatch: &Dispatch,
) -> Result<(Response<ureq::Body>, u64), Outcome> {
    let url = format!("{}/{}", dispatch.endpoint, exchange.path);
    let Ok(uri) = url.parse::<Uri>() else {
        log::warn!("http: {url} is not a valid URL of a backend server");
        return Err(Outcome::NotSent);
    };
    let mut headers = exchange.headers.clone();
    let id = format!("{}-{}", dispatch.req.0, dispatch.attempt);
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(headers::ATTEMPT, id);
    }
    let method = exchange.method.clone();
    let is_empty = exchange.body.length == Some(0);
    set_length(&mut headers, exchange.body.length, &method);
    let mut source = exchange.source();
    let result = if is_empty {
        send(
            agent,
            method,
            uri,
            headers,
            SendBody::none(),
            true,
            dispatch,
        )
    } else {
        let body = SendBody::from_reader(&mut source);
        send(agent, method, uri, headers, body, false, dispatch)
    };
    let sent = source.read;
    let requester_failed = source.has_failed;
    result.map(|resp| (resp, sent)).map_err(|e| {
        log::debug!("http: {url}: {e}");
        if requester_failed {
            Outcome::CallerGone
        } else {
            outcome(&e)
        }
    })
}

/// Sets the headers that frame the request's body.
fn set_length(headers: &mut HeaderMap, length: Option<u64>, method: &Method) {
    headers.remove("content-length");
    let needs_length = matches!(*method, Method::POST | Method::PUT | Method::PATCH);
    match length {
        Some(0) if !needs_length => {}
        Some(length) => {
            headers.insert("content-length", length.into());
        }
        None => {
            headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        }
    }
}

fn send(
    agent: &ureq::Agent,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: SendBody<'_>,
    is_empty: bool,
    dispatch: &Dispatch,
) -> Result<Response<ureq::Body>, ureq::Error> {
    // A body is unusual with these methods, so `ureq` requires an explicit request to send it.
    let builder = match method {
        _ if is_empty => None,
        Method::GET => Some(agent.get(&uri)),
        Method::HEAD => Some(agent.head(&uri)),
        Method::DELETE => Some(agent.delete(&uri)),
        Method::OPTIONS => Some(agent.options(&uri)),
        _ => None,
    };
    if let Some(builder) = builder {
        let mut builder = builder.force_send_body();
        if let Some(map) = builder.headers_mut() {
            *map = headers;
        }
        return builder
            .config()
            .timeout_global(Some(dispatch.timeout))
            .timeout_recv_response(Some(dispatch.first_byte_timeout))
            .build()
            .send(body);
    }
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    let req = agent
        .configure_request(req)
        .timeout_global(Some(dispatch.timeout))
        .timeout_recv_response(Some(dispatch.first_byte_timeout))
        .build();
    agent.run(req)
}

/// Returns the outcome of a failed call. Only a failure to connect proves that the request was not sent.
fn outcome(e: &ureq::Error) -> Outcome {
    match e {
        ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => Outcome::NotSent,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::ConnectionFailed => Outcome::NotSent,
        ureq::Error::Timeout(_) => Outcome::Silent,
        _ => Outcome::CutShort,
    }
}

/// Forwards a request to another node and passes the answer on to the requester.
pub(super) fn forward(
    links: &Links,
    mut exchange: Exchange,
    forward: &Forward,
    address: SocketAddr,
) -> AttemptResult {
    let mut end = AttemptEnd::new(forward.req, forward.attempt, Outcome::NotSent);
    let deadline = Instant::now() + forward.timeout;
    let Ok(uri) = exchange.url.parse::<Uri>() else {
        return (end, Some(exchange), None);
    };
    let mut headers = exchange.headers.clone();
    set_length(&mut headers, exchange.body.length, &exchange.method);
    headers.remove("transfer-encoding");
    let time_left_ms = u64::try_from(forward.timeout.as_millis()).unwrap_or(u64::MAX);
    headers.insert(headers::TIME_LEFT, time_left_ms.into());
    let method = exchange.method.clone();
    let mut source = exchange.source();
    let mut req = Request::new(&mut source);
    *req.method_mut() = method;
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    let result = links.forward(forward.node, address, req);
    end.bytes = source.read;
    let requester_failed = source.has_failed;
    match result {
        Ok(resp) => {
            let verdict = verdict_of(resp.headers());
            let is_temporary = is_temporary(resp.status().as_u16());
            if is_temporary && verdict == Verdict::MayHaveRun {
                end.outcome = Outcome::CutShort;
                end.is_replayable = exchange.body.is_replayable();
                return (end, Some(exchange), None);
            }
            if is_temporary && verdict == Verdict::NotRun && exchange.body.is_replayable() {
                end.outcome = Outcome::Declined;
                return (end, Some(exchange), None);
            }
            let options = PassOnOptions {
                verdict,
                is_from_backend: false,
                must_store: false,
                deadline,
            };
            pass_on(exchange, end, resp, options)
        }
        Err(e) => {
            log::debug!("http: {}: {e}", forward.node);
            end.outcome = match e {
                _ if requester_failed => Outcome::CallerGone,
                LinkError::Unreachable(_) | LinkError::Refused(_) => Outcome::NotSent,
                LinkError::Lost(_) => Outcome::Silent,
            };
            end.is_replayable = exchange.body.is_replayable();
            (end, Some(exchange), None)
        }
    }
}

/// Returns the verdict in another node's answer.
fn verdict_of(headers: &HeaderMap) -> Verdict {
    let verdict = headers::text(headers, &headers::VERDICT);
    match verdict.as_deref() {
        Some("not-run") => Verdict::NotRun,
        Some("may-have-run") => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}

/// Returns whether a request that got this status may succeed at another node.
const fn is_temporary(status: u16) -> bool {
    status == 503 || status == 502
}

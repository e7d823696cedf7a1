//! The HTTP server for callers and operators.

use std::{
    io::{self, Read},
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream},
    panic::{self, AssertUnwindSafe},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use model::Verdict;
use peer::secrets_equal;
use serde::{Serialize, de::DeserializeOwned};
use stakker::sync::Channel;
use tiny_http::{Header, Method, Request, Response, Server};

use super::{actor::Incoming, proxy::Proxy};
use crate::{
    api::{OperatorReq, OperatorResp},
    settings::Settings,
};

/// The interval at which [`wake_idle_threads`] connects to the server.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of threads, and thus of requests that are handled concurrently.
const THREADS: usize = 64;
/// The maximum size of the body of an operator's call, in bytes.
const OPERATOR_BODY_MAX_BYTES: u64 = 8 << 20;
/// The longest wait for the result of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(28);
/// The longest wait for the node's state or readiness.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP server of a node.
pub(super) struct HttpServer {
    address: SocketAddr,
}

/// The state shared by the handler threads.
pub(super) struct Shared {
    channel: Channel<Incoming>,
    proxy: Proxy,
    operator_token: String,
}

impl HttpServer {
    pub(super) fn start(
        settings: &Settings,
        channel: &Channel<Incoming>,
        proxy: &Proxy,
    ) -> io::Result<Self> {
        let token = settings.operator_token.clone();
        Self::listen(settings.listen, token, channel, proxy)
    }

    /// Starts a server. With an empty operator token, all operators' calls are refused.
    pub(super) fn listen(
        listen: SocketAddr,
        operator_token: String,
        channel: &Channel<Incoming>,
        proxy: &Proxy,
    ) -> io::Result<Self> {
        let server = Server::http(listen).map_err(io::Error::other)?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("not an IP address"))?;
        let server = Arc::new(server);
        let shared = Arc::new(Shared {
            channel: channel.clone(),
            proxy: proxy.clone(),
            operator_token,
        });
        for _ in 0..THREADS {
            let server = Arc::clone(&server);
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                while let Ok(req) = server.recv() {
                    // A panic in one request must not end the thread.
                    let handling = AssertUnwindSafe(|| handle(&shared, req));
                    if panic::catch_unwind(handling).is_err() {
                        log::error!("http: the handling of a request panicked");
                    }
                }
            });
        }
        thread::spawn(move || wake_idle_threads(address));
        Ok(Self { address })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Connects to the server at regular intervals and closes each connection at once.
///
/// This works around a flaw in `tiny_http`, which counts a thread as idle until it has woken up. Of two
/// connections that arrive while one thread is idle, the second is queued, and is not served as long as
/// the busy threads keep their connections open. Each further connection makes a thread check the queue.
fn wake_idle_threads(mut address: SocketAddr) {
    if address.ip().is_unspecified() {
        address.set_ip(match address {
            SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    loop {
        thread::sleep(WAKE_INTERVAL);
        if let Err(e) = TcpStream::connect_timeout(&address, STATE_TIMEOUT) {
            log::debug!("http: cannot connect to the node's own server: {e}");
        }
    }
}

fn handle(shared: &Shared, req: Request) {
    let url = req.url().to_owned();
    let method = req.method().clone();
    if url.starts_with("/s/") {
        shared.proxy.caller(req);
        return;
    }
    match (&method, url.as_str()) {
        (Method::Get, "/healthz") => text(req, 200, "alive\n"),
        (Method::Get, "/readyz") => ready(shared, req),
        (Method::Get, "/v1/dump") => {
            if let Some(req) = authorised(shared, req) {
                dump(shared, req);
            }
        }
        (Method::Post, "/v1/operator") => {
            if let Some(req) = authorised(shared, req) {
                operator(shared, req);
            }
        }
        _ => text(req, 404, "no such path\n"),
    }
}

/// Returns the request if it carries the operators' token. Otherwise refuses it.
fn authorised(shared: &Shared, req: Request) -> Option<Request> {
    let given = header(&req, "authorization").unwrap_or_default();
    let given = given.strip_prefix("Bearer ").unwrap_or_default();
    let has_token = !shared.operator_token.is_empty();
    if has_token && secrets_equal(given.as_bytes(), shared.operator_token.as_bytes()) {
        return Some(req);
    }
    log::warn!("http: an operator's call without the right token was refused");
    text(req, 401, "the operators' token is missing or wrong\n");
    None
}

fn ready(shared: &Shared, req: Request) {
    match ask(shared, Incoming::Ready) {
        Some(true) => text(req, 200, "ready\n"),
        _ => text(req, 503, "not ready\n"),
    }
}

fn dump(shared: &Shared, req: Request) {
    match ask(shared, Incoming::Dump) {
        Some(dump) => json(req, &dump),
        None => text(req, 500, "the node gave no answer\n"),
    }
}

/// Sends a question to the actor and waits for the reply. Returns `None` if there is no reply in time.
fn ask<T>(shared: &Shared, message: impl FnOnce(mpsc::Sender<T>) -> Incoming) -> Option<T> {
    let (reply, rx) = mpsc::channel();
    if !shared.channel.send(message(reply)) {
        return None;
    }
    rx.recv_timeout(STATE_TIMEOUT).ok()
}

fn operator(shared: &Shared, mut req: Request) {
    let call: OperatorReq = match body(&mut req) {
        Ok(call) => call,
        Err(e) => return text(req, 400, &format!("not an operator's call: {e}\n")),
    };
    let (reply, rx) = mpsc::channel();
    let sent = shared.channel.send(Incoming::Operator { req: call, reply });
    let resp = if sent {
        rx.recv_timeout(OPERATOR_TIMEOUT).unwrap_or_else(|_| {
            let message = "no decision in time; look at `lacewing status`".to_owned();
            OperatorResp::Failed {
                verdict: Verdict::MayHaveRun,
                message,
            }
        })
    } else {
        OperatorResp::Failed {
            verdict: Verdict::NotRun,
            message: "the node shuts down; try another node".to_owned(),
        }
    };
    json(req, &resp);
}

/// Reads and parses the body of an operator's call.
fn body<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let mut bytes = Vec::new();
    let mut limited = req.as_reader().take(OPERATOR_BODY_MAX_BYTES + 1);
    limited.read_to_end(&mut bytes).map_err(|e| e.to_string())?;
    if bytes.len() as u64 > OPERATOR_BODY_MAX_BYTES {
        return Err(format!("larger than {OPERATOR_BODY_MAX_BYTES} bytes"));
    }
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Returns the value of a request header.
fn header(req: &Request, name: &str) -> Option<String> {
    let found = req
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.as_str().to_owned())
}

/// Creates a response header.
///
/// # Panics
///
/// Panics if the name or the value is not valid in a header. All callers pass valid constants.
fn response_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("the header's text is valid")
}

fn json(req: Request, value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(body) => {
            let header = response_header("content-type", "application/json");
            respond(req, Response::from_string(body).with_header(header));
        }
        Err(e) => text(req, 500, &format!("{e}\n")),
    }
}

fn text(req: Request, status: u16, body: &str) {
    respond(req, Response::from_string(body).with_status_code(status));
}

fn respond<R: Read>(req: Request, response: Response<R>) {
    if let Err(e) = req.respond(response) {
        log::debug!("http: cannot write an answer: {e}");
    }
}

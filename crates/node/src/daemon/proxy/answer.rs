//! Answers to callers and to other nodes.

use std::{
    fmt::Write as _,
    io::{self, Cursor, Read, Write},
    sync::mpsc::{self, SyncSender, TrySendError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use model::Verdict;
use peer::AnswerWriter;
use route::{Refusal, StoredAnswer};
use tiny_http::HTTPVersion;
use ureq::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use super::{
    exchange::{Asker, Exchange},
    headers,
};

/// The size of the buffer through which a long body passes, in bytes.
const BUFFER_BYTES: usize = 64 << 10;
/// No chunk begins with these bytes: a caller that reads them knows that the answer is cut.
const BROKEN_CHUNK: &[u8] = b"!cut\r\n\r\n";
/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// How many parts of a long answer wait for a slow caller.
const PARTS_MAX: usize = 4;
/// How often a part is offered to a slow caller again.
const WRITER_POLL: Duration = Duration::from_millis(1);
/// The stack of a thread that writes to a caller, in bytes.
const WRITER_STACK_BYTES: usize = 128 << 10;

/// How an answer with a long body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Streamed {
    /// It was passed on whole.
    Whole,
    /// Its source failed; the asker has seen the cut.
    Cut,
    /// The asker went away.
    AskerGone,
}

/// How a caller is told the length of a long body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    /// The length was given; the connection closes behind the body.
    Length,
}

/// Answers with a short body. Returns whether the asker has taken it.
pub(super) fn short(exchange: Exchange, status: u16, headers: &HeaderMap, body: &[u8]) -> bool {
    let bodyless = exchange.is_bodyless(status);
    match exchange.asker {
        Asker::Caller { req, close } => {
            let mut head = head(status, headers, close);
            if !bodyless {
                // Writing to a string does not fail.
                let _ = write!(head, "content-length: {}\r\n", body.len());
            } else if let Some(length) = headers::content_length(headers) {
                let _ = write!(head, "content-length: {length}\r\n");
            }
            head.push_str("\r\n");
            let mut bytes = head.into_bytes();
            if !bodyless {
                bytes.extend_from_slice(body);
            }
            let mut writer = req.into_writer();
            let written = writer.write_all(&bytes).and_then(|()| writer.flush());
            written.is_ok()
        }
        Asker::Node { answer, .. } => {
            let resp = response(status, headers, Cursor::new(body));
            answer.answer(resp).is_ok()
        }
    }
}

/// Whether a long answer can be passed on such that the asker sees if it is cut.
pub(super) fn can_stream(exchange: &Exchange, length: Option<u64>) -> bool {
    match &exchange.asker {
        Asker::Caller { req, .. } => framing(req, length).is_some(),
        Asker::Node { .. } => true,
    }
}

fn framing(req: &tiny_http::Request, length: Option<u64>) -> Option<Framing> {
    let keep_alive = req.headers().iter().any(|header| {
        header.field.equiv("connection") && !header.value.as_str().eq_ignore_ascii_case("close")
    });
    if *req.http_version() >= HTTPVersion(1, 1) {
        Some(Framing::Chunked)
    } else if length.is_some() && !keep_alive {
        Some(Framing::Length)
    } else {
        None
    }
}

/// Answers with a long body as it comes from its source.
pub(super) fn stream(
    exchange: Exchange,
    status: u16,
    headers: &HeaderMap,
    length: Option<u64>,
    mut body: impl Read,
    until: Instant,
) -> Streamed {
    match exchange.asker {
        Asker::Caller { req, close } => {
            let framing = framing(&req, length);
            let mut head = head(status, headers, close);
            match (framing, length) {
                (Some(Framing::Length), Some(length)) => {
                    // Writing to a string does not fail.
                    let _ = write!(head, "content-length: {length}\r\n\r\n");
                }
                _ => head.push_str("transfer-encoding: chunked\r\n\r\n"),
            }
            let chunked = framing != Some(Framing::Length);
            stream_to_caller(req, head.into_bytes(), chunked, body, until)
        }
        Asker::Node { answer, .. } => {
            let mut watch = Watch {
                body: &mut body,
                ended: false,
                failed: false,
            };
            let resp = response(status, headers, &mut watch);
            // Whether the other node has taken it shows in how far the body was read.
            let _ = answer.answer(resp);
            match (watch.failed, watch.ended) {
                (true, _) => Streamed::Cut,
                (false, true) => Streamed::Whole,
                (false, false) => Streamed::AskerGone,
            }
        }
    }
}

/// Writes on a thread of its own: a caller that reads slowly must not keep the backend server's
/// connection open past `until`.
fn stream_to_caller(
    req: tiny_http::Request,
    head: Vec<u8>,
    chunked: bool,
    mut body: impl Read,
    until: Instant,
) -> Streamed {
    let Some(mut caller) = SlowWriter::start(req.into_writer(), until) else {
        return Streamed::AskerGone;
    };
    let mut next = head;
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        if !caller.write(next) {
            return Streamed::AskerGone;
        }
        next = match body.read(&mut buf) {
            Ok(0) => break,
            Ok(n) if chunked => chunk(&buf[..n]),
            Ok(n) => buf[..n].to_vec(),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Vec::new(),
            Err(_) => {
                // Without chunks the connection closes before the length is reached.
                if chunked {
                    caller.write(BROKEN_CHUNK.to_vec());
                }
                return Streamed::Cut;
            }
        };
    }
    let last = if chunked { LAST_CHUNK } else { b"" };
    if caller.write(last.to_vec()) && caller.finish() {
        Streamed::Whole
    } else {
        Streamed::AskerGone
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Writes to a caller on a thread of its own, which ends when the caller has taken all or goes away.
struct SlowWriter {
    tx: SyncSender<Vec<u8>>,
    written: JoinHandle<io::Result<()>>,
    until: Instant,
}

impl SlowWriter {
    fn start(mut writer: Box<dyn Write + Send>, until: Instant) -> Option<Self> {
        let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(PARTS_MAX);
        let write_all = move || {
            for part in rx {
                writer.write_all(&part)?;
                writer.flush()?;
            }
            Ok(())
        };
        let thread = thread::Builder::new().stack_size(WRITER_STACK_BYTES);
        let written = thread.spawn(write_all).ok()?;
        Some(Self { tx, written, until })
    }

    /// Hands a part over. Returns false if the caller does not take it in time, or has gone away.
    fn write(&mut self, mut part: Vec<u8>) -> bool {
        loop {
            match self.tx.try_send(part) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(_)) if Instant::now() >= self.until => return false,
                Err(TrySendError::Full(back)) => part = back,
            }
            thread::sleep(WRITER_POLL);
        }
    }

    /// Whether the caller has taken all in time.
    fn finish(self) -> bool {
        drop(self.tx);
        while !self.written.is_finished() {
            if Instant::now() >= self.until {
                return false;
            }
            thread::sleep(WRITER_POLL);
        }
        matches!(self.written.join(), Ok(Ok(())))
    }
}

/// Sees how the reading of a body ends.
struct Watch<R> {
    body: R,
    ended: bool,
    failed: bool,
}

impl<R: Read> Read for Watch<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let read = self.body.read(buf);
        match &read {
            Ok(0) if !buf.is_empty() => self.ended = true,
            Err(e) if e.kind() != io::ErrorKind::Interrupted => self.failed = true,
            _ => {}
        }
        read
    }
}

/// The head of an answer up to its framing.
fn head(status: u16, headers: &HeaderMap, close: bool) -> String {
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let reason = code.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", code.as_u16());
    for (name, value) in headers {
        // The framing is written behind.
        if name == "content-length" {
            continue;
        }
        if let Ok(value) = value.to_str() {
            // Writing to a string does not fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
    }
    if close {
        head.push_str("connection: close\r\n");
    }
    head
}

fn response<B>(status: u16, headers: &HeaderMap, body: B) -> Response<B> {
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    resp.headers_mut().clone_from(headers);
    resp
}

/// Answers with a refusal or an error.
pub(super) fn refuse(exchange: Exchange, refuse: &Refusal) {
    let mut headers = verdict_headers(refuse.verdict);
    if let Some(wait) = refuse.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert("retry-after", seconds.into());
    }
    let body = format!("{}\n", refuse.reason);
    short(exchange, refuse.reason.status(), &headers, body.as_bytes());
}

/// Answers with what was kept of an earlier request.
pub(super) fn stored(exchange: Exchange, answer: &StoredAnswer) {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(
        headers::VERDICT,
        HeaderValue::from_static(Verdict::Ran.as_str()),
    );
    short(exchange, answer.status, &headers, &answer.body);
}

/// Refuses a caller's request that was not taken in.
pub(super) fn refuse_caller(req: tiny_http::Request, status: u16, reason: &str) {
    let body = format!("{reason}\n");
    let mut head = head(status, &verdict_headers(Verdict::NotRun), true);
    // Writing to a string does not fail.
    let _ = write!(head, "content-length: {}\r\n\r\n{body}", body.len());
    let mut writer = req.into_writer();
    if let Err(e) = writer
        .write_all(head.as_bytes())
        .and_then(|()| writer.flush())
    {
        log::debug!("http: a refusal was not taken: {e}");
    }
}

/// Refuses another node's request that was not taken in.
pub(super) fn refuse_node(answer: AnswerWriter, status: u16, reason: &str) {
    let body = Cursor::new(format!("{reason}\n").into_bytes());
    let resp = response(status, &verdict_headers(Verdict::NotRun), body);
    if let Err(e) = answer.answer(resp) {
        log::debug!("http: a refusal was not taken: {e}");
    }
}

fn verdict_headers(verdict: Verdict) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(headers::VERDICT, HeaderValue::from_static(verdict.as_str()));
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers
}

//! Writes answers to callers and to other nodes.

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
    exchange::{Exchange, Requester},
    headers,
};

/// The size of the buffer for streaming a long body, in bytes.
const BUFFER_BYTES: usize = 64 << 10;
/// Bytes that are not a valid chunk. A caller that reads them detects that the answer is truncated.
const INVALID_CHUNK: &[u8] = b"!cut\r\n\r\n";
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The maximum number of parts of a long answer that are buffered for a slow caller.
const PARTS_MAX: usize = 4;
/// The interval at which a [`BackgroundWriter`] checks whether a slow caller has read more.
const WRITER_POLL: Duration = Duration::from_millis(1);
/// The stack size of a thread that writes to a caller, in bytes.
const WRITER_STACK_BYTES: usize = 128 << 10;

/// The result of streaming an answer with a long body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Streamed {
    /// The answer was passed on completely.
    Complete,
    /// The source of the body failed, and the requester can detect that the answer is truncated.
    Truncated,
    /// The requester disconnected or did not read the answer in time.
    RequesterGone,
}

/// How the end of a long body is marked for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    /// By `Content-Length`. The connection closes after the body.
    Length,
}

/// Writes an answer with a short body. Returns whether the whole answer could be written.
pub(super) fn short(exchange: Exchange, status: u16, headers: &HeaderMap, body: &[u8]) -> bool {
    let is_bodyless = exchange.is_bodyless(status);
    match exchange.requester {
        Requester::Caller { req, close } => {
            let mut head = head(status, headers, close);
            if !is_bodyless {
                // Writing to a string does not fail.
                let _ = write!(head, "content-length: {}\r\n", body.len());
            } else if let Some(length) = headers::content_length(headers) {
                let _ = write!(head, "content-length: {length}\r\n");
            }
            head.push_str("\r\n");
            let mut bytes = head.into_bytes();
            if !is_bodyless {
                bytes.extend_from_slice(body);
            }
            let mut writer = req.into_writer();
            let written = writer.write_all(&bytes).and_then(|()| writer.flush());
            written.is_ok()
        }
        Requester::Node { answer, .. } => {
            let resp = response(status, headers, Cursor::new(body));
            answer.answer(resp).is_ok()
        }
    }
}

/// Returns whether a long answer can be passed on in such a way that the requester can detect its
/// truncation.
pub(super) fn can_stream(exchange: &Exchange, length: Option<u64>) -> bool {
    match &exchange.requester {
        Requester::Caller { req, .. } => framing(req, length).is_some(),
        Requester::Node { .. } => true,
    }
}

/// Returns the framing for a long answer, or `None` if the caller could not detect a truncation.
fn framing(req: &tiny_http::Request, length: Option<u64>) -> Option<Framing> {
    let is_keep_alive = req.headers().iter().any(|header| {
        header.field.equiv("connection") && !header.value.as_str().eq_ignore_ascii_case("close")
    });
    if *req.http_version() >= HTTPVersion(1, 1) {
        Some(Framing::Chunked)
    } else if length.is_some() && !is_keep_alive {
        Some(Framing::Length)
    } else {
        None
    }
}

/// Writes an answer with a long body while the body is read from its source.
pub(super) fn stream(
    exchange: Exchange,
    status: u16,
    headers: &HeaderMap,
    length: Option<u64>,
    mut body: impl Read,
    deadline: Instant,
) -> Streamed {
    match exchange.requester {
        Requester::Caller { req, close } => {
            let framing = framing(&req, length);
            let mut head = head(status, headers, close);
            match (framing, length) {
                (Some(Framing::Length), Some(length)) => {
                    // Writing to a string does not fail.
                    let _ = write!(head, "content-length: {length}\r\n\r\n");
                }
                _ => head.push_str("transfer-encoding: chunked\r\n\r\n"),
            }
            let is_chunked = framing != Some(Framing::Length);
            stream_to_caller(req, head.into_bytes(), is_chunked, body, deadline)
        }
        Requester::Node { answer, .. } => {
            let mut reader = MonitoredReader {
                body: &mut body,
                reached_end: false,
                has_failed: false,
            };
            let resp = response(status, headers, &mut reader);
            // The result is not needed: how far the body was read shows whether the other node took it.
            let _ = answer.answer(resp);
            match (reader.has_failed, reader.reached_end) {
                (true, _) => Streamed::Truncated,
                (false, true) => Streamed::Complete,
                (false, false) => Streamed::RequesterGone,
            }
        }
    }
}

/// Streams an answer to a caller through a [`BackgroundWriter`], so that a caller that reads slowly
/// cannot keep the backend server's connection open past `deadline`.
fn stream_to_caller(
    req: tiny_http::Request,
    head: Vec<u8>,
    is_chunked: bool,
    mut body: impl Read,
    deadline: Instant,
) -> Streamed {
    let Some(mut caller) = BackgroundWriter::start(req.into_writer(), deadline) else {
        return Streamed::RequesterGone;
    };
    let mut next = head;
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        if !caller.write(next) {
            return Streamed::RequesterGone;
        }
        next = match body.read(&mut buf) {
            Ok(0) => break,
            Ok(n) if is_chunked => chunk(&buf[..n]),
            Ok(n) => buf[..n].to_vec(),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Vec::new(),
            Err(_) => {
                // Without chunked encoding, the connection closes before `Content-Length` is reached.
                if is_chunked {
                    caller.write(INVALID_CHUNK.to_vec());
                }
                return Streamed::Truncated;
            }
        };
    }
    let last = if is_chunked { LAST_CHUNK } else { b"" };
    if caller.write(last.to_vec()) && caller.finish() {
        Streamed::Complete
    } else {
        Streamed::RequesterGone
    }
}

/// Encodes data as one chunk of a chunked body.
fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Writes to a caller on a thread of its own. The thread ends when everything is written or the caller
/// disconnects.
struct BackgroundWriter {
    tx: SyncSender<Vec<u8>>,
    written: JoinHandle<io::Result<()>>,
    deadline: Instant,
}

impl BackgroundWriter {
    fn start(mut writer: Box<dyn Write + Send>, deadline: Instant) -> Option<Self> {
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
        Some(Self {
            tx,
            written,
            deadline,
        })
    }

    /// Queues a part for writing. Returns false if there is no room before the deadline, or if writing
    /// has failed.
    fn write(&mut self, mut part: Vec<u8>) -> bool {
        loop {
            match self.tx.try_send(part) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(_)) if Instant::now() >= self.deadline => return false,
                Err(TrySendError::Full(back)) => part = back,
            }
            thread::sleep(WRITER_POLL);
        }
    }

    /// Waits until everything is written. Returns false if writing failed or the deadline has passed.
    fn finish(self) -> bool {
        drop(self.tx);
        while !self.written.is_finished() {
            if Instant::now() >= self.deadline {
                return false;
            }
            thread::sleep(WRITER_POLL);
        }
        matches!(self.written.join(), Ok(Ok(())))
    }
}

/// A reader that records whether the body was read to its end or failed.
struct MonitoredReader<R> {
    body: R,
    reached_end: bool,
    has_failed: bool,
}

impl<R: Read> Read for MonitoredReader<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let read = self.body.read(buf);
        match &read {
            Ok(0) if !buf.is_empty() => self.reached_end = true,
            Err(e) if e.kind() != io::ErrorKind::Interrupted => self.has_failed = true,
            _ => {}
        }
        read
    }
}

/// Formats the head of an answer without the headers that frame the body and the final empty line.
fn head(status: u16, headers: &HeaderMap, close: bool) -> String {
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let reason = code.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", code.as_u16());
    for (name, value) in headers {
        // The caller of this function adds the framing.
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

/// Answers with a refusal or an error of the router.
pub(super) fn refuse(exchange: Exchange, refusal: &Refusal) {
    let mut headers = verdict_headers(refusal.verdict);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert("retry-after", seconds.into());
    }
    let body = format!("{}\n", refusal.reason);
    short(exchange, refusal.reason.status(), &headers, body.as_bytes());
}

/// Answers with the stored answer of an earlier request with the same idempotency key.
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

/// Refuses a caller's request that was not accepted.
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
        log::debug!("http: cannot write a refusal: {e}");
    }
}

/// Refuses a request forwarded by another node that was not accepted.
pub(super) fn refuse_node(answer: AnswerWriter, status: u16, reason: &str) {
    let body = Cursor::new(format!("{reason}\n").into_bytes());
    let resp = response(status, &verdict_headers(Verdict::NotRun), body);
    if let Err(e) = answer.answer(resp) {
        log::debug!("http: cannot write a refusal: {e}");
    }
}

/// Returns the headers of a text answer with a verdict.
fn verdict_headers(verdict: Verdict) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(headers::VERDICT, HeaderValue::from_static(verdict.as_str()));
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers
}

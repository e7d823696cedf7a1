//! Passes an answer on to the requester.

use std::{
    io::{self, Read},
    time::Instant,
};

use model::Verdict;
use route::{AttemptEnd, Outcome, StoredAnswer};
use ureq::http::{HeaderMap, HeaderValue, Response};

use super::{
    answer::{self, Streamed},
    exchange::Exchange,
    headers,
};

/// How much of an answer's body is read before its head is passed on, in bytes.
const ANSWER_FIRST_BYTES: usize = 64 << 10;
/// The maximum length of an answer that is stored for resent requests, in bytes.
const STORED_MAX_BYTES: usize = 1 << 20;
/// The lowest HTTP status that indicates a failure of the backend server.
const SERVER_ERROR: u16 = 500;

/// The end of an attempt, with the request if it has not been answered, and an answer that is to be written once the
/// end has been reported.
pub(super) type AttemptResult = (AttemptEnd, Option<Exchange>, Option<ReadAnswer>);

/// A whole answer that is kept for resent requests. A caller that has read it may send its request again at once, so
/// the answer is kept first.
pub(super) struct ReadAnswer {
    exchange: Exchange,
    head: Head,
    body: Vec<u8>,
}

impl ReadAnswer {
    /// Writes the answer to the requester.
    pub(super) fn write(self) {
        let Head {
            status, headers, ..
        } = self.head;
        if !answer::short(self.exchange, status, &headers, &self.body) {
            log::debug!("http: a caller has left before its answer, which is kept");
        }
    }
}

/// How an answer is passed on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassOnOptions {
    /// The verdict to send to the requester.
    pub(super) verdict: Verdict,
    /// Whether the answer comes from a backend server. Otherwise it comes from another node, which has
    /// already checked it.
    pub(super) is_from_backend: bool,
    /// Whether to return a copy of the answer to be stored.
    pub(super) must_store: bool,
    /// The time at which the attempt ends.
    pub(super) deadline: Instant,
}

/// Passes an answer on. If the answer is truncated within its first part, or must not be passed on,
/// returns the request instead.
pub(super) fn pass_on(
    exchange: Exchange,
    mut end: AttemptEnd,
    resp: Response<impl Read>,
    options: PassOnOptions,
) -> AttemptResult {
    let (parts, body) = resp.into_parts();
    let status = parts.status.as_u16();
    let length = headers::content_length(&parts.headers);
    if options.is_from_backend && is_not_run(&parts.headers) {
        return return_request(exchange, end, Outcome::Declined);
    }
    let is_bodyless = exchange.is_bodyless(status);
    let mut body = CountingReader { body, read: 0 };
    let mut first = Vec::new();
    let read = if is_bodyless {
        Ok(0)
    } else {
        let limit = ANSWER_FIRST_BYTES as u64 + 1;
        body.by_ref().take(limit).read_to_end(&mut first)
    };
    let is_long = first.len() > ANSWER_FIRST_BYTES;
    let is_whole = is_bodyless || is_long || length.is_none_or(|length| length == body.read);
    let is_delimited =
        is_bodyless || !options.is_from_backend || has_delimited_body(&parts.headers);
    let can_pass = !is_long || answer::can_stream(&exchange, length);
    if read.is_err() || !is_whole || !is_delimited || !can_pass {
        end.bytes += body.read;
        return return_request(exchange, end, Outcome::CutShort);
    }
    let mut headers = parts.headers;
    headers::remove_connection_headers(&mut headers);
    let verdict = HeaderValue::from_static(options.verdict.as_str());
    headers.insert(headers::VERDICT, verdict);
    let head = Head {
        status,
        headers,
        length,
    };
    if is_long {
        pass_long(exchange, end, &head, &first, body, options)
    } else {
        end.bytes += body.read;
        pass_short(exchange, end, head, first, options.must_store)
    }
}

/// The head of an answer.
struct Head {
    status: u16,
    headers: HeaderMap,
    length: Option<u64>,
}

impl Head {
    /// Returns the outcome of an attempt whose answer was passed on.
    const fn outcome(&self) -> Outcome {
        if self.status >= SERVER_ERROR {
            Outcome::Faulty
        } else {
            Outcome::Answered
        }
    }

    /// Returns the answer to store.
    fn stored(&self, body: Vec<u8>) -> StoredAnswer {
        let text = self.headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.to_string(), value.to_owned()))
        });
        StoredAnswer {
            status: self.status,
            headers: text.filter(|(name, _)| name != "content-length").collect(),
            body,
        }
    }
}

fn return_request(exchange: Exchange, mut end: AttemptEnd, outcome: Outcome) -> AttemptResult {
    end.outcome = outcome;
    end.is_replayable = exchange.body.is_replayable();
    (end, Some(exchange), None)
}

fn pass_short(
    exchange: Exchange,
    mut end: AttemptEnd,
    head: Head,
    body: Vec<u8>,
    must_store: bool,
) -> AttemptResult {
    if must_store {
        end.outcome = head.outcome();
        end.answer = Some(head.stored(body.clone()));
        let answer = ReadAnswer {
            exchange,
            head,
            body,
        };
        return (end, None, Some(answer));
    }
    let taken = answer::short(exchange, head.status, &head.headers, &body);
    end.outcome = if taken {
        head.outcome()
    } else {
        Outcome::CallerGone
    };
    (end, None, None)
}

fn pass_long(
    exchange: Exchange,
    mut end: AttemptEnd,
    head: &Head,
    first: &[u8],
    mut body: CountingReader<impl Read>,
    options: PassOnOptions,
) -> AttemptResult {
    let must_store = options.must_store && head.length.is_none_or(|n| n <= STORED_MAX_BYTES as u64);
    let mut tee = Tee {
        copy: must_store.then(|| first.to_vec()),
        body: &mut body,
        reached_end: false,
    };
    let source = first.chain(&mut tee);
    let (status, length) = (head.status, head.length);
    let deadline = options.deadline;
    let streamed = answer::stream(exchange, status, &head.headers, length, source, deadline);
    let (copy, reached_end) = (tee.copy.take(), tee.reached_end);
    end.bytes += body.read;
    end.answer = copy.filter(|_| reached_end).map(|body| head.stored(body));
    end.outcome = match streamed {
        Streamed::Complete => head.outcome(),
        Streamed::Truncated => Outcome::Broken,
        Streamed::RequesterGone => Outcome::CallerGone,
    };
    (end, None, None)
}

/// Returns whether the headers mark the end of the body, so that a truncation can be detected. A body
/// that ends with its connection cannot be distinguished from a truncated one.
fn has_delimited_body(headers: &HeaderMap) -> bool {
    headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// Returns whether the answer's verdict is that the request did not run.
fn is_not_run(headers: &HeaderMap) -> bool {
    let verdict = headers::text(headers, &headers::VERDICT);
    verdict.as_deref() == Some(Verdict::NotRun.as_str())
}

/// A reader that counts the bytes read.
struct CountingReader<R> {
    body: R,
    read: u64,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.body.read(buf)?;
        self.read += n as u64;
        Ok(n)
    }
}

/// A reader that copies what is read, up to [`STORED_MAX_BYTES`].
struct Tee<R> {
    body: R,
    copy: Option<Vec<u8>>,
    reached_end: bool,
}

impl<R: Read> Read for Tee<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.body.read(buf)?;
        self.reached_end |= n == 0 && !buf.is_empty();
        if let Some(copy) = &mut self.copy {
            copy.extend_from_slice(&buf[..n]);
            if copy.len() > STORED_MAX_BYTES {
                self.copy = None;
            }
        }
        Ok(n)
    }
}

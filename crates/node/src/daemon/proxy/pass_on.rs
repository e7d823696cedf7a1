//! Passing an answer on to the asker.

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

/// How much of an answer is read before its head is passed on, in bytes.
const ANSWER_FIRST_BYTES: usize = 64 << 10;
/// The longest answer that is kept for resends, in bytes.
const KEPT_MAX_BYTES: usize = 1 << 20;
/// The least status that says that the backend server fails.
const SERVER_ERROR: u16 = 500;

/// The end of an attempt, and the request if it is not answered.
pub(super) type Ended = (AttemptEnd, Option<Exchange>);

/// What is said of the answer from outside.
#[derive(Clone, Copy, Debug)]
pub(super) struct Passing {
    /// The verdict that the asker is told.
    pub(super) verdict: Verdict,
    /// Whether the answer comes from a backend server, and not from another node, which has checked it.
    pub(super) from_backend: bool,
    /// Whether it is handed back for keeping.
    pub(super) keep: bool,
    /// When the attempt's time is over.
    pub(super) until: Instant,
}

/// Passes an answer on, unless it is cut short within its first part: the request then comes back.
pub(super) fn pass_on(
    exchange: Exchange,
    mut end: AttemptEnd,
    resp: Response<impl Read>,
    passing: Passing,
) -> Ended {
    let (parts, body) = resp.into_parts();
    let status = parts.status.as_u16();
    let length = headers::content_length(&parts.headers);
    if passing.from_backend && says_not_run(&parts.headers) {
        return not_passed(exchange, end, Outcome::Declined);
    }
    let bodyless = exchange.is_bodyless(status);
    let mut body = Counted { body, read: 0 };
    let mut first = Vec::new();
    let read = if bodyless {
        Ok(0)
    } else {
        let most = ANSWER_FIRST_BYTES as u64 + 1;
        body.by_ref().take(most).read_to_end(&mut first)
    };
    let long = first.len() > ANSWER_FIRST_BYTES;
    let whole = bodyless || long || length.is_none_or(|length| length == body.read);
    let clear = bodyless || !passing.from_backend || has_clear_end(&parts.headers);
    let can_pass = !long || answer::can_stream(&exchange, length);
    if read.is_err() || !whole || !clear || !can_pass {
        end.bytes += body.read;
        return not_passed(exchange, end, Outcome::CutShort);
    }
    let mut headers = parts.headers;
    headers::drop_link_headers(&mut headers);
    let verdict = HeaderValue::from_static(passing.verdict.as_str());
    headers.insert(headers::VERDICT, verdict);
    let head = Head {
        status,
        headers,
        length,
    };
    if long {
        pass_long(exchange, end, &head, &first, body, passing)
    } else {
        end.bytes += body.read;
        pass_short(exchange, end, &head, first, passing.keep)
    }
}

/// The head of an answer.
struct Head {
    status: u16,
    headers: HeaderMap,
    length: Option<u64>,
}

impl Head {
    const fn outcome(&self) -> Outcome {
        if self.status >= SERVER_ERROR {
            Outcome::Faulty
        } else {
            Outcome::Answered
        }
    }

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

fn not_passed(exchange: Exchange, mut end: AttemptEnd, outcome: Outcome) -> Ended {
    end.outcome = outcome;
    end.is_replayable = exchange.body.is_replayable();
    (end, Some(exchange))
}

fn pass_short(
    exchange: Exchange,
    mut end: AttemptEnd,
    head: &Head,
    body: Vec<u8>,
    keep: bool,
) -> Ended {
    let taken = answer::short(exchange, head.status, &head.headers, &body);
    end.outcome = if taken {
        head.outcome()
    } else {
        Outcome::CallerGone
    };
    end.answer = keep.then(|| head.stored(body));
    (end, None)
}

fn pass_long(
    exchange: Exchange,
    mut end: AttemptEnd,
    head: &Head,
    first: &[u8],
    mut body: Counted<impl Read>,
    passing: Passing,
) -> Ended {
    let keep = passing.keep && head.length.is_none_or(|n| n <= KEPT_MAX_BYTES as u64);
    let mut tee = Tee {
        kept: keep.then(|| first.to_vec()),
        body: &mut body,
        ended: false,
    };
    let source = first.chain(&mut tee);
    let (status, length) = (head.status, head.length);
    let until = passing.until;
    let streamed = answer::stream(exchange, status, &head.headers, length, source, until);
    let (kept, ended) = (tee.kept.take(), tee.ended);
    end.bytes += body.read;
    end.answer = kept.filter(|_| ended).map(|body| head.stored(body));
    end.outcome = match streamed {
        Streamed::Whole => head.outcome(),
        Streamed::Cut => Outcome::Broken,
        Streamed::AskerGone => Outcome::CallerGone,
    };
    (end, None)
}

/// Whether the answer's end can be told from a cut: it does not just end with its connection.
fn has_clear_end(headers: &HeaderMap) -> bool {
    headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// Whether the other side says that it did not run the request.
fn says_not_run(headers: &HeaderMap) -> bool {
    let verdict = headers::text(headers, &headers::VERDICT);
    verdict.as_deref() == Some(Verdict::NotRun.as_str())
}

/// Counts what is read.
struct Counted<R> {
    body: R,
    read: u64,
}

impl<R: Read> Read for Counted<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.body.read(buf)?;
        self.read += n as u64;
        Ok(n)
    }
}

/// Keeps a copy of what is read, up to a bound.
struct Tee<R> {
    body: R,
    kept: Option<Vec<u8>>,
    ended: bool,
}

impl<R: Read> Read for Tee<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.body.read(buf)?;
        self.ended |= n == 0 && !buf.is_empty();
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(&buf[..n]);
            if kept.len() > KEPT_MAX_BYTES {
                self.kept = None;
            }
        }
        Ok(n)
    }
}

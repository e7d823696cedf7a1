//! A request that was taken in and has no answer yet.

use std::io::{self, Read};

use peer::{AnswerWriter, BodyReader};
use ureq::http::{HeaderMap, Method};

/// How much of a request's body is read before the request is offered, in bytes. A longer body can be
/// sent once only.
pub(super) const BODY_FIRST_BYTES: usize = 64 << 10;
/// The longest body of a request, in bytes.
pub(super) const BODY_MAX_BYTES: u64 = 64 << 20;

/// Who asks.
pub(super) enum Asker {
    Caller {
        req: tiny_http::Request,
        /// Whether the caller is told to close its connection.
        close: bool,
    },
    Node {
        body: BodyReader,
        answer: AnswerWriter,
    },
}

/// A request and its way back.
pub(in crate::daemon) struct Exchange {
    pub(super) method: Method,
    /// The path and query behind the service's name.
    pub(super) path: String,
    /// The path and query as the caller gave them.
    pub(super) url: String,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) asker: Asker,
}

/// The body of a request.
pub(super) struct RequestBody {
    /// Its first part.
    pub(super) first: Vec<u8>,
    /// Whether the first part is all.
    pub(super) whole: bool,
    /// Its length, where it is known.
    pub(super) length: Option<u64>,
    /// Whether more than the first part was read.
    pub(super) spent: bool,
}

impl RequestBody {
    /// Reads the first part of a body.
    pub(super) fn read(mut rest: impl Read, length: Option<u64>) -> io::Result<Self> {
        let mut first = Vec::new();
        let most = BODY_FIRST_BYTES as u64 + 1;
        rest.by_ref().take(most).read_to_end(&mut first)?;
        let whole = first.len() <= BODY_FIRST_BYTES;
        let read = first.len() as u64;
        if whole && length.is_some_and(|length| length != read) {
            let message = "the request's body was cut short";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        Ok(Self {
            first,
            whole,
            length: if whole { Some(read) } else { length },
            spent: false,
        })
    }

    /// Whether the body can be sent once more.
    pub(super) const fn is_replayable(&self) -> bool {
        self.whole || !self.spent
    }
}

impl Exchange {
    /// The body, to be sent.
    pub(super) fn source(&mut self) -> BodySource<'_> {
        let rest: Option<&mut dyn Read> = match &mut self.asker {
            _ if self.body.whole => None,
            Asker::Caller { req, .. } => Some(req.as_reader()),
            Asker::Node { body, .. } => Some(body),
        };
        BodySource {
            first: &self.body.first,
            rest,
            spent: &mut self.body.spent,
            read: 0,
            length: self.body.length,
            failed: false,
        }
    }

    /// Whether the answer has no body, whatever its headers say.
    pub(super) fn is_bodyless(&self, status: u16) -> bool {
        self.method == Method::HEAD || matches!(status, 100..=199 | 204 | 304)
    }
}

/// Reads a request's body: what was read before, then the rest from the asker.
pub(super) struct BodySource<'a> {
    first: &'a [u8],
    rest: Option<&'a mut dyn Read>,
    spent: &'a mut bool,
    pub(super) read: u64,
    length: Option<u64>,
    /// Whether the asker has failed to send the whole body.
    pub(super) failed: bool,
}

impl Read for BodySource<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if !self.first.is_empty() {
            let n = self.first.read(buf)?;
            self.read += n as u64;
            return Ok(n);
        }
        let Some(rest) = &mut self.rest else {
            return Ok(0);
        };
        *self.spent = true;
        let n = rest.read(buf).inspect_err(|_| self.failed = true)?;
        self.read += n as u64;
        let short = n == 0 && self.length.is_some_and(|length| self.read < length);
        if short || self.read > BODY_MAX_BYTES {
            self.failed = true;
            let message = "the request's body is cut short or too large";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        Ok(n)
    }
}

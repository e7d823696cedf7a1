//! A request that has been accepted and not yet answered.

use std::io::{self, Read};

use peer::{AnswerWriter, BodyReader};
use ureq::http::{HeaderMap, Method};

/// How much of a request's body is read before the request is submitted to the router, in bytes. A longer
/// body can be sent only once.
pub(super) const BODY_PREFIX_BYTES: usize = 64 << 10;
/// The maximum length of a request's body, in bytes.
pub(super) const BODY_MAX_BYTES: u64 = 64 << 20;

/// The sender of a request, to whom the answer is written.
pub(super) enum Requester {
    Caller {
        req: tiny_http::Request,
        /// Whether the answer asks the caller to close its connection.
        close: bool,
    },
    Node {
        body: BodyReader,
        answer: AnswerWriter,
    },
}

/// A request with the means to answer it.
pub(in crate::daemon) struct Exchange {
    pub(super) method: Method,
    /// The path and query after the service's name, without the leading slash.
    pub(super) path: String,
    /// The path and query as sent by the caller.
    pub(super) url: String,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) requester: Requester,
}

/// The body of a request.
pub(super) struct RequestBody {
    /// The first part of the body. It is one byte longer than [`BODY_PREFIX_BYTES`] if the body is longer.
    pub(super) prefix: Vec<u8>,
    /// Whether the prefix is the whole body.
    pub(super) is_whole: bool,
    /// The length of the body in bytes, if it is known.
    pub(super) length: Option<u64>,
    /// Whether anything after the prefix has been read.
    pub(super) is_consumed: bool,
}

impl RequestBody {
    /// Reads the prefix of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body cannot be read, or ends within the prefix and does not have `length`
    /// bytes.
    pub(super) fn read(mut rest: impl Read, length: Option<u64>) -> io::Result<Self> {
        let mut prefix = Vec::new();
        let limit = BODY_PREFIX_BYTES as u64 + 1;
        rest.by_ref().take(limit).read_to_end(&mut prefix)?;
        let is_whole = prefix.len() <= BODY_PREFIX_BYTES;
        let read = prefix.len() as u64;
        if is_whole && length.is_some_and(|length| length != read) {
            let message = "the request's body was cut short";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        Ok(Self {
            prefix,
            is_whole,
            length: if is_whole { Some(read) } else { length },
            is_consumed: false,
        })
    }

    /// Returns whether the whole body can be sent again.
    pub(super) const fn is_replayable(&self) -> bool {
        self.is_whole || !self.is_consumed
    }
}

impl Exchange {
    /// Returns a reader of the request's body.
    pub(super) fn source(&mut self) -> BodySource<'_> {
        let rest: Option<&mut dyn Read> = match &mut self.requester {
            _ if self.body.is_whole => None,
            Requester::Caller { req, .. } => Some(req.as_reader()),
            Requester::Node { body, .. } => Some(body),
        };
        BodySource {
            prefix: &self.body.prefix,
            rest,
            is_consumed: &mut self.body.is_consumed,
            read: 0,
            length: self.body.length,
            has_failed: false,
        }
    }

    /// Returns whether an answer with this status has no body, regardless of its headers.
    pub(super) fn is_bodyless(&self, status: u16) -> bool {
        self.method == Method::HEAD || matches!(status, 100..=199 | 204 | 304)
    }
}

/// Reads a request's body: first the buffered prefix, then the rest from the requester.
pub(super) struct BodySource<'a> {
    prefix: &'a [u8],
    rest: Option<&'a mut dyn Read>,
    is_consumed: &'a mut bool,
    pub(super) read: u64,
    length: Option<u64>,
    /// Whether the requester failed to send the whole body.
    pub(super) has_failed: bool,
}

impl Read for BodySource<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if !self.prefix.is_empty() {
            let n = self.prefix.read(buf)?;
            self.read += n as u64;
            return Ok(n);
        }
        let Some(rest) = &mut self.rest else {
            return Ok(0);
        };
        *self.is_consumed = true;
        let n = rest.read(buf).inspect_err(|_| self.has_failed = true)?;
        self.read += n as u64;
        let is_short = n == 0 && self.length.is_some_and(|length| self.read < length);
        if is_short || self.read > BODY_MAX_BYTES {
            self.has_failed = true;
            let message = "the request's body is cut short or too large";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        Ok(n)
    }
}

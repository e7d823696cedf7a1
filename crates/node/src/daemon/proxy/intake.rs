//! Reads incoming requests, checks their limits and prepares them for the router.

use std::{mem, time::Duration};

use peer::ForwardedRequest;
use route::{IncomingRequest, ReqId};
use tiny_http::{HTTPVersion, Request};
use ureq::http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{
    answer,
    exchange::{BODY_MAX_BYTES, Exchange, RequestBody, Requester},
    headers,
};

/// The maximum number of headers of a request.
const HEADERS_MAX: usize = 100;
/// The maximum total length of a request's header names and values, in bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The maximum length of the path and query, in bytes.
const URL_MAX_BYTES: usize = 8 << 10;
/// The maximum length of an idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 200;

/// The reason why a request is not accepted. Such a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
enum IntakeError {
    #[error("the path is too long")]
    LongPath,
    #[error("the headers are too many or too long")]
    LongHead,
    #[error("a header is not valid")]
    BadHeader,
    #[error("the body's length is not clear")]
    UnclearLength,
    #[error("the body is too large")]
    LargeBody,
    #[error("upgrades are not passed on")]
    Upgrade,
    #[error("the Idempotency-Key is not 1 to 200 visible ASCII characters")]
    BadKey,
    #[error("the body was cut short")]
    CutBody,
}

impl IntakeError {
    /// Returns the HTTP status of the refusal.
    const fn status(self) -> u16 {
        match self {
            Self::LongPath => 414,
            Self::LongHead => 431,
            Self::LargeBody => 413,
            Self::Upgrade => 501,
            Self::BadHeader | Self::UnclearLength | Self::BadKey | Self::CutBody => 400,
        }
    }
}

/// What is read from a request's URL and headers.
struct Head {
    service: String,
    path: String,
    key: Option<String>,
    length: Option<u64>,
}

/// Reads a caller's request. Returns `None` if the request was refused.
pub(super) fn caller(mut req: Request, is_closing: bool) -> Option<(IncomingRequest, Exchange)> {
    let url = req.url().to_owned();
    let method = req.method().as_str().parse().unwrap_or(Method::GET);
    let read = caller_headers(&req).and_then(|map| Ok((read_head(&url, &map)?, map)));
    let (head, headers) = match read {
        Ok(read) => read,
        Err(error) => {
            refuse_caller(req, error);
            return None;
        }
    };
    let Ok(body) = RequestBody::read(req.as_reader(), head.length) else {
        refuse_caller(req, IntakeError::CutBody);
        return None;
    };
    let is_close_requested = header_has(&headers, "connection", "close");
    let close = is_closing || is_close_requested || *req.http_version() < HTTPVersion(1, 1);
    let requester = Requester::Caller { req, close };
    Some(build_request(head, method, url, headers, body, requester))
}

/// Reads a request that another node has forwarded. Returns `None` if the request was refused.
pub(super) fn forwarded(forwarded: ForwardedRequest) -> Option<(IncomingRequest, Exchange)> {
    let ForwardedRequest { req, answer, .. } = forwarded;
    let (parts, mut body) = req.into_parts();
    let url = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let url = url.to_owned();
    let time_left = headers::text(&parts.headers, &headers::TIME_LEFT);
    let time_left = time_left.and_then(|ms| ms.parse().ok());
    let head = read_head(&url, &parts.headers).and_then(|head| {
        let read = RequestBody::read(&mut body, head.length);
        read.map(|read| (head, read))
            .map_err(|_| IntakeError::CutBody)
    });
    let (head, read) = match head {
        Ok(read) => read,
        Err(error) => {
            answer::refuse_node(answer, error.status(), &error.to_string());
            return None;
        }
    };
    let requester = Requester::Node { body, answer };
    let (mut request, exchange) =
        build_request(head, parts.method, url, parts.headers, read, requester);
    request.is_forwarded = true;
    request.time_left = time_left.map(Duration::from_millis);
    Some((request, exchange))
}

fn build_request(
    head: Head,
    method: Method,
    url: String,
    mut headers: HeaderMap,
    body: RequestBody,
    requester: Requester,
) -> (IncomingRequest, Exchange) {
    headers::remove_connection_headers(&mut headers);
    let request = IncomingRequest {
        // The actor assigns the number.
        req: ReqId::default(),
        service: head.service,
        key: head.key,
        fingerprint: fingerprint(&method, &url, &body),
        time_left: None,
        is_forwarded: false,
    };
    let exchange = Exchange {
        method,
        path: head.path,
        url,
        headers,
        body,
        requester,
    };
    (request, exchange)
}

/// Converts the headers of a caller's request and checks their limits.
fn caller_headers(req: &Request) -> Result<HeaderMap, IntakeError> {
    let bytes: usize = req
        .headers()
        .iter()
        .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len())
        .sum();
    if req.headers().len() > HEADERS_MAX || bytes > HEAD_MAX_BYTES {
        return Err(IntakeError::LongHead);
    }
    let mut headers = HeaderMap::new();
    for header in req.headers() {
        let name = HeaderName::from_bytes(header.field.as_str().as_bytes());
        let value = HeaderValue::from_str(header.value.as_str());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(IntakeError::BadHeader);
        };
        headers.append(name, value);
    }
    Ok(headers)
}

fn read_head(url: &str, headers: &HeaderMap) -> Result<Head, IntakeError> {
    if url.len() > URL_MAX_BYTES {
        return Err(IntakeError::LongPath);
    }
    if header_has(headers, "connection", "upgrade") {
        return Err(IntakeError::Upgrade);
    }
    let length = body_length(headers)?;
    let rest = url.strip_prefix("/s/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    Ok(Head {
        service: service.to_owned(),
        path: path.strip_prefix('/').unwrap_or(path).to_owned(),
        key: read_key(headers)?,
        length,
    })
}

/// Returns the body's length in bytes, or `None` for a chunked body. A request with both framings, or
/// with two lengths, is refused, because the backend server could interpret it differently.
fn body_length(headers: &HeaderMap) -> Result<Option<u64>, IntakeError> {
    let mut lengths = headers.get_all("content-length").iter();
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Some(0)),
        (None, Some(coding)) if codings.next().is_none() => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            is_chunked.then_some(None).ok_or(IntakeError::UnclearLength)
        }
        (Some(_), None) if lengths.next().is_none() => {
            let length = headers::content_length(headers).ok_or(IntakeError::UnclearLength)?;
            if length > BODY_MAX_BYTES {
                return Err(IntakeError::LargeBody);
            }
            Ok(Some(length))
        }
        _ => Err(IntakeError::UnclearLength),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, IntakeError> {
    let Some(value) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let is_valid = !bytes.is_empty() && bytes.len() <= KEY_MAX_BYTES;
    if !is_valid || !bytes.iter().all(u8::is_ascii_graphic) {
        return Err(IntakeError::BadKey);
    }
    Ok(headers::text(headers, &headers::IDEMPOTENCY_KEY))
}

/// Returns whether a comma-separated header contains a word, ignoring case.
fn header_has(headers: &HeaderMap, name: &str, word: &str) -> bool {
    let values = headers.get_all(name).iter();
    let mut words = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    words.any(|found| found.trim().eq_ignore_ascii_case(word))
}

/// Returns a hash that distinguishes a resent request from another request with the same idempotency key.
fn fingerprint(method: &Method, url: &str, body: &RequestBody) -> u64 {
    let content = if body.is_whole { &body.prefix[..] } else { &[] };
    let parts = [
        method.as_str().as_bytes(),
        b" ",
        url.as_bytes(),
        b"\n",
        content,
    ];
    model::stable_hash(parts.into_iter().flatten().copied())
}

fn refuse_caller(req: Request, error: IntakeError) {
    if error == IntakeError::LargeBody {
        // When the connection is dropped, `tiny_http` would allocate a buffer for the rest of the body.
        // The connection is leaked instead; it closes when the process ends.
        let response = tiny_http::Response::empty(error.status());
        mem::forget(req.upgrade("none", response));
        return;
    }
    answer::refuse_caller(req, error.status(), &error.to_string());
}

//! Taking requests in: their bounds, and what the router needs to know of them.

use std::{mem, time::Duration};

use peer::ForwardedRequest;
use route::{IncomingRequest, ReqId};
use tiny_http::{HTTPVersion, Request};
use ureq::http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{
    answer,
    exchange::{Asker, BODY_MAX_BYTES, Exchange, RequestBody},
    headers,
};

/// The most headers of a request.
const HEADERS_MAX: usize = 100;
/// The longest head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The longest path and query, in bytes.
const URL_MAX_BYTES: usize = 8 << 10;
/// The longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 200;

/// Why a request is not taken in. None of these was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
enum Fault {
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

impl Fault {
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

/// A request's head.
struct Head {
    service: String,
    path: String,
    key: Option<String>,
    length: Option<u64>,
}

/// Takes a caller's request in, or refuses it.
pub(super) fn caller(mut req: Request, closing: bool) -> Option<(IncomingRequest, Exchange)> {
    let url = req.url().to_owned();
    let method = req.method().as_str().parse().unwrap_or(Method::GET);
    let read = caller_headers(&req).and_then(|map| Ok((read_head(&url, &map)?, map)));
    let (head, headers) = match read {
        Ok(read) => read,
        Err(fault) => {
            refuse_caller(req, fault);
            return None;
        }
    };
    let Ok(body) = RequestBody::read(req.as_reader(), head.length) else {
        refuse_caller(req, Fault::CutBody);
        return None;
    };
    let wants_close = header_has(&headers, "connection", "close");
    let close = closing || wants_close || *req.http_version() < HTTPVersion(1, 1);
    let asker = Asker::Caller { req, close };
    Some(take_in(head, method, url, headers, body, asker))
}

/// Takes a request in that another node passes on, or refuses it.
pub(super) fn forwarded(forwarded: ForwardedRequest) -> Option<(IncomingRequest, Exchange)> {
    let ForwardedRequest { req, answer, .. } = forwarded;
    let (parts, mut body) = req.into_parts();
    let url = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let url = url.to_owned();
    let within = headers::text(&parts.headers, &headers::WITHIN);
    let within = within.and_then(|ms| ms.parse().ok());
    let head = read_head(&url, &parts.headers).and_then(|head| {
        let read = RequestBody::read(&mut body, head.length);
        read.map(|read| (head, read)).map_err(|_| Fault::CutBody)
    });
    let (head, read) = match head {
        Ok(read) => read,
        Err(fault) => {
            answer::refuse_node(answer, fault.status(), &fault.to_string());
            return None;
        }
    };
    let asker = Asker::Node { body, answer };
    let (mut offer, exchange) = take_in(head, parts.method, url, parts.headers, read, asker);
    offer.is_forwarded = true;
    offer.time_left = within.map(Duration::from_millis);
    Some((offer, exchange))
}

fn take_in(
    head: Head,
    method: Method,
    url: String,
    mut headers: HeaderMap,
    body: RequestBody,
    asker: Asker,
) -> (IncomingRequest, Exchange) {
    headers::drop_link_headers(&mut headers);
    let offer = IncomingRequest {
        // Numbered by the actor.
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
        asker,
    };
    (offer, exchange)
}

fn caller_headers(req: &Request) -> Result<HeaderMap, Fault> {
    let bytes: usize = req
        .headers()
        .iter()
        .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len())
        .sum();
    if req.headers().len() > HEADERS_MAX || bytes > HEAD_MAX_BYTES {
        return Err(Fault::LongHead);
    }
    let mut headers = HeaderMap::new();
    for header in req.headers() {
        let name = HeaderName::from_bytes(header.field.as_str().as_bytes());
        let value = HeaderValue::from_str(header.value.as_str());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Fault::BadHeader);
        };
        headers.append(name, value);
    }
    Ok(headers)
}

fn read_head(url: &str, headers: &HeaderMap) -> Result<Head, Fault> {
    if url.len() > URL_MAX_BYTES {
        return Err(Fault::LongPath);
    }
    if header_has(headers, "connection", "upgrade") {
        return Err(Fault::Upgrade);
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

/// The body's length; `None` for a chunked body. A request that gives both, or two lengths, could be
/// read differently by the backend server.
fn body_length(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut lengths = headers.get_all("content-length").iter();
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Some(0)),
        (None, Some(coding)) if codings.next().is_none() => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            chunked.then_some(None).ok_or(Fault::UnclearLength)
        }
        (Some(_), None) if lengths.next().is_none() => {
            let length = headers::content_length(headers).ok_or(Fault::UnclearLength)?;
            if length > BODY_MAX_BYTES {
                return Err(Fault::LargeBody);
            }
            Ok(Some(length))
        }
        _ => Err(Fault::UnclearLength),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Fault> {
    let Some(value) = headers.get(headers::KEY) else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let valid = !bytes.is_empty() && bytes.len() <= KEY_MAX_BYTES;
    if !valid || !bytes.iter().all(u8::is_ascii_graphic) {
        return Err(Fault::BadKey);
    }
    Ok(headers::text(headers, &headers::KEY))
}

fn header_has(headers: &HeaderMap, name: &str, word: &str) -> bool {
    let values = headers.get_all(name).iter();
    let mut words = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    words.any(|found| found.trim().eq_ignore_ascii_case(word))
}

/// A hash by which a resend is told from another request with the same key.
fn fingerprint(method: &Method, url: &str, body: &RequestBody) -> u64 {
    let content = if body.whole { &body.first[..] } else { &[] };
    let parts = [
        method.as_str().as_bytes(),
        b" ",
        url.as_bytes(),
        b"\n",
        content,
    ];
    model::stable_hash(parts.into_iter().flatten().copied())
}

fn refuse_caller(req: Request, fault: Fault) {
    if fault == Fault::LargeBody {
        // On its end `tiny_http` would allocate what is left of the body: the connection is kept from
        // its end instead, and closes with the process.
        let response = tiny_http::Response::empty(fault.status());
        mem::forget(req.upgrade("none", response));
        return;
    }
    answer::refuse_caller(req, fault.status(), &fault.to_string());
}

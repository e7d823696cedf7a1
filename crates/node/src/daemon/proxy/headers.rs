//! The proxy's own headers, and the removal of headers that must not be passed on.

use ureq::http::{HeaderMap, HeaderName, HeaderValue};

/// The response header with the verdict on whether the request has run.
pub(super) const VERDICT: HeaderName = HeaderName::from_static("lacewing-verdict");
/// The request header with which a node tells another one the time left until the deadline, in
/// milliseconds.
pub(super) const TIME_LEFT: HeaderName = HeaderName::from_static("lacewing-within-ms");
/// The request header that identifies an attempt to a backend server.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("lacewing-attempt");
/// The request header with a caller's idempotency key.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The headers that apply to one connection only, and those that only nodes may set.
const CONNECTION_HEADERS: [&str; 14] = [
    "connection",
    "expect",
    "host",
    "keep-alive",
    "lacewing-attempt",
    "lacewing-node",
    "lacewing-token",
    "lacewing-within-ms",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that must not be passed on, including those that the `Connection` header lists.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        // `Connection` must not remove the header that frames the body.
        if name != "content-length" {
            headers.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Returns the value of the `Content-Length` header, if it is valid.
pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the value of a header as text, if it is valid text.
pub(super) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value: &HeaderValue = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

//! Headers that are passed on and those that are not.

use ureq::http::{HeaderMap, HeaderName, HeaderValue};

/// The header that carries a verdict.
pub(super) const VERDICT: HeaderName = HeaderName::from_static("lacewing-verdict");
/// The header that carries what is left of a request's deadline between nodes, in milliseconds.
pub(super) const WITHIN: HeaderName = HeaderName::from_static("lacewing-within-ms");
/// The header that names an attempt to backend servers.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("lacewing-attempt");
/// The header of a caller's idempotency key.
pub(super) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The headers that belong to one connection, and those that only the nodes may set.
const LINK_HEADERS: [&str; 14] = [
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

/// Removes the headers that belong to one connection, also those that `Connection` names.
pub(super) fn drop_link_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        // The framing is not for `Connection` to name.
        if name != "content-length" {
            headers.remove(name);
        }
    }
    for name in LINK_HEADERS {
        headers.remove(name);
    }
}

/// The length that the headers give for the body.
pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

/// The value of a header as text.
pub(super) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value: &HeaderValue = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

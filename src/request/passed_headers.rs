//! Which headers pass through, and how they travel between hosts.

use {
    crate::connection::peer::wire,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue},
};

/// Headers that belong to one connection or are made anew, and so never pass through.
const STOPPED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "idempotency-key",
    "x-request-id",
    "x-served-model",
    "x-priority",
    "x-fence",
    "x-not-run",
];

/// Headers of this project's own.
const OWN_PREFIX: &str = "x-coveproxy-";

/// The headers of a message that pass through.
pub fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !STOPPED.contains(&name) && !name.starts_with(OWN_PREFIX)
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Headers as they travel between hosts.
pub fn headers_to_wire(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Headers from another host; what is no valid header is left out.
pub fn headers_from_wire(headers: &[wire::Header]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect()
}

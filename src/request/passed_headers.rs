//! Filtering of forwarded headers, and their encoding between hosts.

use {
    crate::connection::peer::wire,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue},
};

/// Headers that apply to one connection or are set again by the proxy, and are not forwarded.
const NOT_FORWARDED: &[&str] = &[
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

/// Prefix of the proxy's own headers, which are not forwarded.
const OWN_PREFIX: &str = "x-coveproxy-";

/// Returns the headers of a message that are forwarded.
pub fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| {
        let name = name.as_str();
        !NOT_FORWARDED.contains(&name) && !name.starts_with(OWN_PREFIX)
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Encodes headers for a message to another host.
pub fn headers_to_wire(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers from another host; invalid ones are skipped.
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

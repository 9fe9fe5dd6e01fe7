use http::HeaderMap;

/// A header's text; empty when it is missing or no plain text.
pub fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

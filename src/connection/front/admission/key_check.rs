//! Authentication: finds the customer that a request is sent for.

use {
    crate::{
        connection::front::ErrorCause,
        request::direct::Credential,
        version::routing::{Customers, KeyDigest, Route},
    },
    http::{HeaderMap, header},
};

/// Authentication scheme, in lower case.
const SCHEME: &[u8] = b"bearer";

/// Returns the credential of a request, or `None` if the route needs no key.
///
/// Rejects requests with several `authorization` headers: hosts and targets might each use another one.
pub fn identify(
    headers: &HeaderMap,
    route: &Route,
    customers: &Customers,
) -> Result<Option<Credential>, ErrorCause> {
    if route.public || customers.is_empty() {
        return Ok(None);
    }
    let mut shown = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (shown.next(), shown.next()) else {
        return Err(ErrorCause::UnknownKey);
    };
    let key = key_of(value.as_bytes()).ok_or(ErrorCause::UnknownKey)?;
    let key = KeyDigest::of(key);
    let customer = customers.of_key(&key).ok_or(ErrorCause::UnknownKey)?;
    Ok(Some(Credential {
        customer: customer.clone(),
        key,
    }))
}

/// Returns the key in the value of an `authorization` header.
fn key_of(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

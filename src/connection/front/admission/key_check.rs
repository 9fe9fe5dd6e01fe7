//! Whose request it is: the first thing that is asked of a request once its route is known.

use {
    crate::{
        connection::front::OwnCause,
        request::direct::Credential,
        version::routing::{Customers, KeyDigest, Route},
    },
    http::{HeaderMap, header},
};

/// Begins the value of the header that bears a key.
const SCHEME: &[u8] = b"bearer";

/// The customer whose key a request bears; `None` where requests need no key.
///
/// A request with several such headers bears none that could be told from the others: hosts and whatever stands behind
/// them might each take another one for it.
pub fn identify(
    headers: &HeaderMap,
    route: &Route,
    customers: &Customers,
) -> Result<Option<Credential>, OwnCause> {
    if route.public || customers.is_empty() {
        return Ok(None);
    }
    let mut shown = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (shown.next(), shown.next()) else {
        return Err(OwnCause::UnknownKey);
    };
    let key = key_of(value.as_bytes()).ok_or(OwnCause::UnknownKey)?;
    let key = KeyDigest::of(key);
    let customer = customers.of_key(&key).ok_or(OwnCause::UnknownKey)?;
    Ok(Some(Credential {
        customer: customer.clone(),
        key,
    }))
}

/// The key in the value of a header.
fn key_of(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

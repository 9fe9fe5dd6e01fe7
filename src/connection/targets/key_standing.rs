/// Status of the key with which a request was admitted, right before the request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStanding {
    Valid,
    /// Revoked or unknown.
    Gone,
    /// Now belongs to another customer.
    Moved,
    /// The configuration is too old to confirm the key.
    Unconfirmed,
}

/// Status of the key with which a request was admitted, right before the request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    Valid,
    /// No longer in the configuration.
    Revoked,
    /// Now belongs to another customer.
    Reassigned,
    /// The configuration is too old to confirm the key.
    Unconfirmed,
}

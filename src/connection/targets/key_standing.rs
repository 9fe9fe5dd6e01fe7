/// How the key stands that a request was admitted by, right before the request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStanding {
    Valid,
    /// It was taken away.
    Gone,
    /// It belongs to another customer now.
    Moved,
    /// The configuration is too old to say so.
    Unconfirmed,
}

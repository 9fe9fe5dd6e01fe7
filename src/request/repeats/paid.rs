use crate::clock::Instant;
/// What one repeat was paid with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Paid {
    pub at: Instant,
    /// Earned by the host's own requests.
    pub earned: f64,
    /// Lent by other hosts.
    pub borrowed: f64,
    /// From the host's own share.
    pub own: f64,
}

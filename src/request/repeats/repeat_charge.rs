use crate::clock::Instant;

/// The sources from which one repeat was charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatCharge {
    pub charged_at: Instant,
    /// Accrued by the host's own requests.
    pub accrued: f64,
    /// Borrowed from other hosts.
    pub borrowed: f64,
    /// From the host's own share.
    pub own: f64,
}

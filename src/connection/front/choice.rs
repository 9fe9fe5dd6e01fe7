use {
    super::destination::Destination,
    crate::{
        clock::Instant,
        request::direct::{Awaited, RejectReason},
    },
    std::time::Duration,
};

/// Decision on the next send of a request.
pub enum Choice {
    /// Send the request to this destination.
    Send(Destination),
    /// Choose again at `until` or when the adapter's state changes; the first event is expected after `expected`.
    Wait {
        until: Instant,
        expected: Option<Duration>,
        awaited: Awaited,
    },
    /// Reject the request; the caller should retry after this time.
    Reject {
        retry_after: Duration,
        reason: RejectReason,
    },
    /// Answer that no target can take the request.
    NoTarget,
    /// Wait until the queried holders have reported the status of their engines, at most until this time.
    AwaitReports { until: Instant },
}

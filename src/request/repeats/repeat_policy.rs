use std::time::Duration;

/// Maximum time from charging a repeat to its arrival at the target.
pub const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(500);

/// Borrowed quota expires this long after it was requested. The lender counts it as used for longer, so that it is
/// never spent twice.
pub const BORROWED_TTL: Duration = Duration::from_secs(2);

/// Time in which the hosts of a new site learn of each other.
const INITIAL_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Fraction of the extra allowance that is shared out. The rest covers hosts that others don't know yet: each adds one
/// share.
const SHARED_FRACTION: f64 = 0.9;

/// Unused quota is kept up to this fraction of what accrues in a window.
pub(super) const MAX_BALANCE_FRACTION: f64 = 0.1;

/// Fraction of the ratio that accrues. Unused quota from before a window may be spent in it, so that the two together
/// must stay within the ratio.
const ACCRUAL_FRACTION: f64 = 1.0 / (1.0 + MAX_BALANCE_FRACTION);

/// The limit on repeats of one service, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatPolicy {
    pub window: Duration,
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed per window besides, over all hosts.
    pub extra: f64,
}

impl RepeatPolicy {
    /// Returns the quota that one request accrues.
    pub(super) fn accrued_per_request(&self) -> f64 {
        self.ratio * ACCRUAL_FRACTION
    }

    /// Returns one host's share of the extra allowance.
    pub(super) fn host_share(
        &self,
        hosts: usize,
    ) -> f64 {
        match hosts {
            0 => 0.0,
            hosts => self.extra * SHARED_FRACTION / hosts as f64,
        }
    }

    /// Returns how long spent quota counts against the share.
    pub(super) fn spent_window(&self) -> Duration {
        self.window + MAX_ARRIVAL_DELAY
    }

    /// Returns how long lent quota counts against the share.
    pub(super) fn lent_window(&self) -> Duration {
        self.spent_window() + BORROWED_TTL
    }

    /// Returns the time from the start of a process until it may use its share: a previous process of the host may have
    /// spent or lent the share until just now, but not on the first start of the site.
    pub fn share_delay(
        &self,
        first_start: bool,
    ) -> Duration {
        match first_start {
            true => INITIAL_DISCOVERY_TIME,
            false => self.lent_window(),
        }
    }
}

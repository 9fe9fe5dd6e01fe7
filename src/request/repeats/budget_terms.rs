use std::time::Duration;

/// A repeat arrives at its target this long after it was paid for, at the latest: connections come up within
/// 0.3 s, and a host's thread rarely stands still for longer.
pub const ARRIVAL_LAG: Duration = Duration::from_millis(500);

/// What was lent can be spent for so long after it was asked for: four times as long as hosts look ahead, so
/// that little of it ends unspent. The lender goes without it for the window besides.
pub const LOAN_VALIDITY: Duration = Duration::from_secs(2);

/// Time until hosts that all start for the first time have heard of each other.
const SETTLING: Duration = Duration::from_secs(2);

/// Part of the extra allowance that is given out; the rest is for hosts that a part of the site does not
/// know of yet: each such host adds one share on one side of a cut.
const GIVEN_OUT: f64 = 0.9;

/// Part of a window's earnings that may be kept for a moment of need.
pub(super) const KEPT_PART: f64 = 0.1;

/// Part of the ratio that requests earn. What is kept was earned before the window in which it is spent, and
/// the two together must stay within the ratio.
const EARNED_PART: f64 = 1.0 / (1.0 + KEPT_PART);

/// The allowance of repeats of one service, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    pub window: Duration,
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all hosts.
    pub extra: f64,
}

impl BudgetTerms {
    /// What one request earns.
    pub(super) fn earned_by_request(&self) -> f64 {
        self.ratio * EARNED_PART
    }

    /// A host's share of the extra allowance among so many.
    pub(super) fn share(
        &self,
        hosts: usize,
    ) -> f64 {
        match hosts {
            0 => 0.0,
            hosts => self.extra * GIVEN_OUT / hosts as f64,
        }
    }

    /// Time for which what was spent counts.
    pub(super) fn spent_time(&self) -> Duration {
        self.window + ARRIVAL_LAG
    }

    /// Time for which what was lent counts.
    pub(super) fn lent_time(&self) -> Duration {
        self.spent_time() + LOAN_VALIDITY
    }

    /// Time from its start until a process has a share. Its host's process before may have spent or lent
    /// that share until the moment of the start; at the very first start of a site there was none.
    pub fn share_after(
        &self,
        first_start: bool,
    ) -> Duration {
        match first_start {
            true => SETTLING,
            false => self.lent_time(),
        }
    }
}

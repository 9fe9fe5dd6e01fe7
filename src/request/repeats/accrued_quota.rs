use {
    super::{
        RepeatPolicy,
        repeat_policy::KEPT_PART,
        sliding_sum::{Rounding, SlidingSum},
    },
    crate::clock::Instant,
};

/// Quota that a host's own requests accrue.
///
/// The balance is capped at a fraction of what accrues in a window, so that a restart, or demand that moves from host
/// to host, can't use the accruals of two windows in one.
#[derive(Debug)]
pub struct AccruedQuota {
    terms: RepeatPolicy,
    requests: SlidingSum,
    kept: f64,
}

impl AccruedQuota {
    pub fn new(terms: RepeatPolicy) -> Self {
        Self {
            terms,
            requests: SlidingSum::new(terms.window, Rounding::Down),
            kept: 0.0,
        }
    }

    pub fn on_request(
        &mut self,
        now: Instant,
    ) {
        self.requests.add(1.0, now);
        self.kept += self.terms.earned_by_request();
    }

    /// Returns the balance.
    pub fn left(
        &mut self,
        now: Instant,
    ) -> f64 {
        let earned = self.requests.sum(now) * self.terms.earned_by_request();
        self.kept = self.kept.min(earned * KEPT_PART);
        self.kept
    }

    /// Spends up to this amount; returns the amount spent.
    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) -> f64 {
        let spent = self.left(now).min(amount);
        self.kept -= spent;
        spent
    }

    pub fn give_back(
        &mut self,
        amount: f64,
    ) {
        self.kept += amount;
    }
}

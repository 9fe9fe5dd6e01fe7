use {
    super::{
        RepeatPolicy,
        repeat_policy::MAX_BALANCE_FRACTION,
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
    policy: RepeatPolicy,
    requests: SlidingSum,
    balance: f64,
}

impl AccruedQuota {
    pub fn new(policy: RepeatPolicy) -> Self {
        Self {
            policy,
            requests: SlidingSum::new(policy.window, Rounding::Down),
            balance: 0.0,
        }
    }

    pub fn on_request(
        &mut self,
        now: Instant,
    ) {
        self.requests.add(1.0, now);
        self.balance += self.policy.accrued_per_request();
    }

    /// Returns the balance.
    pub fn available(
        &mut self,
        now: Instant,
    ) -> f64 {
        let accrued = self.requests.sum(now) * self.policy.accrued_per_request();
        self.balance = self.balance.min(accrued * MAX_BALANCE_FRACTION);
        self.balance
    }

    /// Spends up to this amount; returns the amount spent.
    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) -> f64 {
        let spent = self.available(now).min(amount);
        self.balance -= spent;
        spent
    }

    pub fn refund(
        &mut self,
        amount: f64,
    ) {
        self.balance += amount;
    }
}

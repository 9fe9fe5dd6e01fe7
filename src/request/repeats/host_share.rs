use {
    super::{
        RepeatPolicy,
        sliding_sum::{Rounding, SlidingSum},
    },
    crate::clock::Instant,
};

/// A host's share of the extra allowance, and what it has spent and lent of it.
#[derive(Debug)]
pub struct HostShare {
    policy: RepeatPolicy,
    /// The share is zero before.
    active_from: Instant,
    spent: SlidingSum,
    lent: SlidingSum,
}

impl HostShare {
    pub fn new(
        policy: RepeatPolicy,
        active_from: Instant,
    ) -> Self {
        Self {
            policy,
            active_from,
            spent: SlidingSum::new(policy.spent_window(), Rounding::Up),
            lent: SlidingSum::new(policy.lent_window(), Rounding::Up),
        }
    }

    /// Returns the current share, if the allowance is divided among this many hosts.
    pub fn current(
        &self,
        hosts: usize,
        now: Instant,
    ) -> f64 {
        match now < self.active_from {
            true => 0.0,
            false => self.policy.host_share(hosts),
        }
    }

    /// Returns the share of a host that is past its start.
    pub fn full_share(
        &self,
        hosts: usize,
    ) -> f64 {
        self.policy.host_share(hosts)
    }

    pub fn available(
        &mut self,
        hosts: usize,
        now: Instant,
    ) -> f64 {
        let used = self.spent.sum(now) + self.lent.sum(now);
        (self.current(hosts, now) - used).max(0.0)
    }

    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) {
        self.spent.add(amount, now);
    }

    pub fn refund(
        &mut self,
        amount: f64,
        at: Instant,
    ) {
        self.spent.subtract(amount, at);
    }

    pub fn lend(
        &mut self,
        amount: f64,
        now: Instant,
    ) {
        self.lent.add(amount, now);
    }

    pub fn spent(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.spent.sum(now)
    }

    pub fn lent(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.lent.sum(now)
    }
}

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
    terms: RepeatPolicy,
    /// The share is zero before.
    from: Instant,
    spent: SlidingSum,
    lent: SlidingSum,
}

impl HostShare {
    pub fn new(
        terms: RepeatPolicy,
        from: Instant,
    ) -> Self {
        Self {
            terms,
            from,
            spent: SlidingSum::new(terms.spent_time(), Rounding::Up),
            lent: SlidingSum::new(terms.lent_time(), Rounding::Up),
        }
    }

    /// Returns the current share, if the allowance is divided among this many hosts.
    pub fn share(
        &self,
        hosts: usize,
        now: Instant,
    ) -> f64 {
        match now < self.from {
            true => 0.0,
            false => self.terms.share(hosts),
        }
    }

    /// Returns the share of a host that is past its start.
    pub fn full_share(
        &self,
        hosts: usize,
    ) -> f64 {
        self.terms.share(hosts)
    }

    pub fn left(
        &mut self,
        hosts: usize,
        now: Instant,
    ) -> f64 {
        let used = self.spent.sum(now) + self.lent.sum(now);
        (self.share(hosts, now) - used).max(0.0)
    }

    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) {
        self.spent.add(amount, now);
    }

    pub fn give_back(
        &mut self,
        amount: f64,
        at: Instant,
    ) {
        self.spent.take_back(amount, at);
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

use {
    super::{
        RepeatCharge, RepeatPolicy, RepeatUsage,
        accrued_quota::AccruedQuota,
        borrow_requests::BorrowRequests,
        expiring_balance::ExpiringBalance,
        host_share::HostShare,
        sliding_sum::{Rounding, SlidingSum},
    },
    crate::clock::Instant,
    std::time::Duration,
};

/// Window of the recent demand that a host borrows quota for.
const LOOKAHEAD: Duration = Duration::from_millis(500);

/// Fraction of the idle quota that one request can borrow, so that several hosts get some.
const LENT_FRACTION: f64 = 0.5;

/// Below twice this amount a lender gives all its idle quota, which could not pay for a repeat of its own.
const ONE_REPEAT: f64 = 1.0;

/// Tolerance for floating point errors of sums.
const EPSILON: f64 = 1e-9;

/// One host's budget for repeats of one service: quota accrued by its requests, borrowed quota, and its share of the
/// extra allowance.
#[derive(Debug)]
pub struct RepeatBudget {
    accrued: AccruedQuota,
    borrowed: ExpiringBalance,
    share: HostShare,
    borrow_requests: BorrowRequests,
    /// Number of hosts that share the extra allowance.
    hosts: usize,
    /// Recent demand for repeats, charged or not.
    recent_demand: SlidingSum,
    /// Recent demand on the host's own share; not lent.
    share_demand: SlidingSum,
    paid: u32,
    refused: u32,
}

impl RepeatBudget {
    /// The host's share is zero before `share_from`.
    pub fn new(
        policy: RepeatPolicy,
        share_from: Instant,
        first_request_id: u64,
    ) -> Self {
        Self {
            accrued: AccruedQuota::new(policy),
            borrowed: ExpiringBalance::default(),
            share: HostShare::new(policy, share_from),
            borrow_requests: BorrowRequests::new(first_request_id),
            hosts: 0,
            recent_demand: SlidingSum::new(LOOKAHEAD, Rounding::Up),
            share_demand: SlidingSum::new(policy.window, Rounding::Up),
            paid: 0,
            refused: 0,
        }
    }

    pub fn set_hosts(
        &mut self,
        hosts: usize,
    ) {
        self.hosts = hosts;
    }

    /// Accrues quota for a request by a caller.
    pub fn on_request(
        &mut self,
        now: Instant,
    ) {
        self.accrued.on_request(now);
    }

    /// Returns the available quota.
    pub fn available(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.accrued.available(now)
            + self.borrowed.available(now)
            + self.share.available(self.hosts, now)
    }

    /// Returns true if another repeat can be charged.
    pub fn can_repeat(
        &mut self,
        now: Instant,
    ) -> bool {
        self.available(now) + EPSILON >= 1.0
    }

    /// Charges a repeat that is sent now; `None` if it must not be sent.
    pub fn charge(
        &mut self,
        now: Instant,
    ) -> Option<RepeatCharge> {
        if !self.can_repeat(now) {
            return None;
        }
        self.recent_demand.add(1.0, now);
        self.paid += 1;
        // Quota that expires first is spent first.
        let accrued = self.accrued.spend(1.0, now);
        let borrowed = self.borrowed.spend(1.0 - accrued, now);
        let own = 1.0 - accrued - borrowed;
        self.share.spend(own, now);
        self.share_demand.add(own, now);
        Some(RepeatCharge {
            charged_at: now,
            accrued,
            borrowed,
            own,
        })
    }

    /// Refunds a charge whose repeat did not arrive anywhere. Borrowed quota is not refunded.
    pub fn refund(
        &mut self,
        charge: &RepeatCharge,
    ) {
        self.accrued.refund(charge.accrued);
        self.share.refund(charge.own, charge.charged_at);
    }

    /// Records that a repeat was rejected for lack of quota.
    pub fn on_rejected(
        &mut self,
        now: Instant,
    ) {
        self.recent_demand.add(1.0, now);
        self.share_demand.add(1.0, now);
        self.refused += 1;
    }

    /// Records that a repeat waits for quota.
    pub fn on_waiting(
        &mut self,
        now: Instant,
    ) {
        self.recent_demand.add(1.0, now);
    }

    /// Returns the ids of requests to send now, each to a different host, and the amount to borrow.
    pub fn next_borrow_requests(
        &mut self,
        now: Instant,
    ) -> (Vec<u64>, f64) {
        let demand = self.recent_demand.sum(now);
        if demand == 0.0 {
            return (Vec::new(), 0.0);
        }
        let missing = demand.max(1.0) - self.available(now);
        let likely = lendable(self.share.full_share(self.hosts));
        self.borrow_requests.start_round(missing, likely, now)
    }

    /// Returns true if a pending request may still bring quota.
    pub fn is_borrowing(
        &mut self,
        now: Instant,
    ) -> bool {
        self.borrow_requests.expected_amount(now) > 0.0
    }

    /// Adds borrowed quota; returns false if the response is late or repeated.
    pub fn on_borrowed(
        &mut self,
        id: u64,
        amount: f64,
        now: Instant,
    ) -> bool {
        let Some(expires_at) = self.borrow_requests.on_borrowed(id, now) else {
            return false;
        };
        self.borrowed.add(amount, expires_at);
        true
    }

    /// Lends quota to another host and returns the amount. It counts as spent, whether or not the response arrives.
    pub fn lend(
        &mut self,
        requested: f64,
        now: Instant,
    ) -> f64 {
        let idle = self.share.available(self.hosts, now) - self.share_demand.sum(now);
        let amount = lendable(idle).min(requested).max(0.0);
        if amount > 0.0 {
            self.share.lend(amount, now);
        }
        amount
    }

    /// Returns the current usage, and the counts since the last call.
    pub fn take_usage(
        &mut self,
        now: Instant,
    ) -> RepeatUsage {
        RepeatUsage {
            hosts: self.hosts,
            share: self.share.current(self.hosts, now),
            spent: self.share.spent(now),
            lent: self.share.lent(now),
            earned_left: self.accrued.available(now),
            borrowed_left: self.borrowed.available(now),
            paid: std::mem::take(&mut self.paid),
            refused: std::mem::take(&mut self.refused),
        }
    }
}

/// Returns what a host with this much idle quota lends to one request.
fn lendable(idle: f64) -> f64 {
    match idle > 2.0 * ONE_REPEAT {
        true => idle * LENT_FRACTION,
        false => idle,
    }
}

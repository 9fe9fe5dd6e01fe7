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

/// A host borrows to cover the demand of this time.
const AHEAD: Duration = Duration::from_millis(500);

/// Fraction of the idle quota that one request can borrow, so that several hosts get some.
const LENT_PART: f64 = 0.5;

/// Below twice this amount a lender gives all its idle quota, which could not pay for a repeat of its own.
const WHOLE: f64 = 1.0;

/// Tolerance for floating point errors of sums.
const ROUNDING: f64 = 1e-9;

/// One host's budget for repeats of one service: quota accrued by its requests, borrowed quota, and its share of the
/// extra allowance.
#[derive(Debug)]
pub struct RepeatBudget {
    earned: AccruedQuota,
    borrowed: ExpiringBalance,
    extra: HostShare,
    asks: BorrowRequests,
    /// Number of hosts that share the extra allowance.
    hosts: usize,
    /// Recent demand for repeats, charged or not.
    wanted: SlidingSum,
    /// Recent demand on the host's own share; not lent.
    needed: SlidingSum,
    paid: u32,
    refused: u32,
}

impl RepeatBudget {
    /// The host's share is zero before `share_from`.
    pub fn new(
        terms: RepeatPolicy,
        share_from: Instant,
        first_ask: u64,
    ) -> Self {
        Self {
            earned: AccruedQuota::new(terms),
            borrowed: ExpiringBalance::default(),
            extra: HostShare::new(terms, share_from),
            asks: BorrowRequests::new(first_ask),
            hosts: 0,
            wanted: SlidingSum::new(AHEAD, Rounding::Up),
            needed: SlidingSum::new(terms.window, Rounding::Up),
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
        self.earned.on_request(now);
    }

    /// Returns the available quota.
    pub fn left(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.earned.left(now) + self.borrowed.left(now) + self.extra.left(self.hosts, now)
    }

    /// Returns true if another repeat can be charged.
    pub fn allows(
        &mut self,
        now: Instant,
    ) -> bool {
        self.left(now) + ROUNDING >= 1.0
    }

    /// Charges a repeat that is sent now; `None` if it must not be sent.
    pub fn pay(
        &mut self,
        now: Instant,
    ) -> Option<RepeatCharge> {
        if !self.allows(now) {
            return None;
        }
        self.wanted.add(1.0, now);
        self.paid += 1;
        // Quota that expires first is spent first.
        let earned = self.earned.spend(1.0, now);
        let borrowed = self.borrowed.spend(1.0 - earned, now);
        let own = 1.0 - earned - borrowed;
        self.extra.spend(own, now);
        self.needed.add(own, now);
        Some(RepeatCharge {
            at: now,
            earned,
            borrowed,
            own,
        })
    }

    /// Refunds a charge whose repeat did not arrive anywhere. Borrowed quota is not refunded.
    pub fn give_back(
        &mut self,
        paid: &RepeatCharge,
    ) {
        self.earned.give_back(paid.earned);
        self.extra.give_back(paid.own, paid.at);
    }

    /// Records that a repeat was rejected for lack of quota.
    pub fn on_rejected(
        &mut self,
        now: Instant,
    ) {
        self.wanted.add(1.0, now);
        self.needed.add(1.0, now);
        self.refused += 1;
    }

    /// Records that a repeat waits for quota.
    pub fn on_waiting(
        &mut self,
        now: Instant,
    ) {
        self.wanted.add(1.0, now);
    }

    /// Returns the ids of requests to send now, each to a different host, and the amount to borrow.
    pub fn next_borrow_requests(
        &mut self,
        now: Instant,
    ) -> (Vec<u64>, f64) {
        let wanted = self.wanted.sum(now);
        if wanted == 0.0 {
            return (Vec::new(), 0.0);
        }
        let missing = wanted.max(1.0) - self.left(now);
        let likely = lendable(self.extra.full_share(self.hosts));
        self.asks.round(missing, likely, now)
    }

    /// Returns true if a pending request may still bring quota.
    pub fn is_borrowing(
        &mut self,
        now: Instant,
    ) -> bool {
        self.asks.awaited(now) > 0.0
    }

    /// Adds borrowed quota; returns false if the response is late or repeated.
    pub fn on_loan(
        &mut self,
        id: u64,
        amount: f64,
        now: Instant,
    ) -> bool {
        let Some(until) = self.asks.on_loan(id, now) else {
            return false;
        };
        self.borrowed.add(amount, until);
        true
    }

    /// Lends quota to another host and returns the amount. It counts as spent, whether or not the response arrives.
    pub fn lend(
        &mut self,
        asked: f64,
        now: Instant,
    ) -> f64 {
        let idle = self.extra.left(self.hosts, now) - self.needed.sum(now);
        let amount = lendable(idle).min(asked).max(0.0);
        if amount > 0.0 {
            self.extra.lend(amount, now);
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
            share: self.extra.share(self.hosts, now),
            spent: self.extra.spent(now),
            lent: self.extra.lent(now),
            earned_left: self.earned.left(now),
            borrowed_left: self.borrowed.left(now),
            paid: std::mem::take(&mut self.paid),
            refused: std::mem::take(&mut self.refused),
        }
    }
}

/// Returns what a host with this much idle quota lends to one request.
fn lendable(idle: f64) -> f64 {
    match idle > 2.0 * WHOLE {
        true => idle * LENT_PART,
        false => idle,
    }
}

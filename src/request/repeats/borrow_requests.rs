use {
    super::repeat_policy::BORROWED_TTL,
    crate::clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Minimum time between two rounds of requests.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of hosts in one round.
const MAX_HOSTS_PER_ROUND: usize = 8;

/// The interval between rounds doubles per this many failed requests.
const FAILURES_PER_DOUBLING: u32 = 16;

/// A successful request cancels this many failed ones.
const FAILURES_CANCELLED: u32 = 16;

const MAX_FAILURES: u32 = FAILURES_PER_DOUBLING * (MAX_DOUBLINGS + 1);

/// Limits the interval to 1.6 s.
const MAX_DOUBLINGS: u32 = 4;

/// Time after which a request is no longer expected to succeed, also across regions.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum requested amount: one repeat.
const MIN_AMOUNT: f64 = 1.0;

#[derive(Debug)]
struct PendingRequest {
    id: u64,
    sent_at: Instant,
    expected: f64,
}

/// Requests to borrow quota from other hosts.
#[derive(Debug)]
pub struct BorrowRequests {
    /// Starts at a random number, so that responses to a previous process don't match.
    next_id: u64,
    pending: VecDeque<PendingRequest>,
    next_round: Option<Instant>,
    failures: u32,
}

impl BorrowRequests {
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            pending: VecDeque::new(),
            next_round: None,
            failures: 0,
        }
    }

    /// Starts a round, if one is due: returns the ids of the requests, each for a different host, and the requested
    /// amount. `likely` is what a host is expected to lend.
    pub fn start_round(
        &mut self,
        missing: f64,
        likely: f64,
        now: Instant,
    ) -> (Vec<u64>, f64) {
        let missing = missing - self.expected_amount(now);
        if missing <= 0.0 || self.next_round.is_some_and(|at| now < at) {
            return (Vec::new(), 0.0);
        }
        let amount = missing.max(MIN_AMOUNT);
        let expected = likely.clamp(0.01, amount);
        let hosts = (missing / expected).ceil() as usize;
        let hosts = hosts.clamp(1, MAX_HOSTS_PER_ROUND);
        let doublings = (self.failures / FAILURES_PER_DOUBLING).min(MAX_DOUBLINGS);
        self.next_round = Some(now + MIN_ROUND_INTERVAL * 2u32.pow(doublings));
        let ids = (0..hosts).map(|_| self.add_pending(expected, now));
        (ids.collect(), amount)
    }

    fn add_pending(
        &mut self,
        expected: f64,
        now: Instant,
    ) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.pending.push_back(PendingRequest {
            id,
            sent_at: now,
            expected,
        });
        self.failures = MAX_FAILURES.min(self.failures + 1);
        id
    }

    /// Handles the response to a request: returns when the borrowed quota expires, or `None` if it has expired or the
    /// id is unknown.
    pub fn on_borrowed(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<Instant> {
        self.evict_expired(now);
        let index = self.pending.iter().position(|pending| pending.id == id)?;
        let pending = self.pending.remove(index)?;
        self.failures = self.failures.saturating_sub(FAILURES_CANCELLED);
        Some(pending.sent_at + BORROWED_TTL)
    }

    /// Returns the amount that pending requests are expected to bring.
    pub fn expected_amount(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.evict_expired(now);
        let is_fresh = |pending: &&PendingRequest| {
            now.saturating_duration_since(pending.sent_at) < RESPONSE_TIMEOUT
        };
        let fresh = self.pending.iter().filter(is_fresh);
        fresh.map(|pending| pending.expected).sum()
    }

    fn evict_expired(
        &mut self,
        now: Instant,
    ) {
        let is_expired = |pending: &PendingRequest| {
            now.saturating_duration_since(pending.sent_at) >= BORROWED_TTL
        };
        while self.pending.front().is_some_and(is_expired) {
            self.pending.pop_front();
        }
    }
}

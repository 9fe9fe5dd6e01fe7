use {
    super::repeat_policy::BORROWED_TTL,
    crate::clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Minimum time between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of hosts in one round.
const ASKED_AT_ONCE: usize = 8;

/// The interval between rounds doubles per this many failed requests.
const FRUITLESS: u32 = 16;

/// A successful request cancels this many failed ones.
const MADE_UP: u32 = 16;

const MOST_FRUITLESS: u32 = FRUITLESS * (MOST_DOUBLINGS + 1);

/// Limits the interval to 1.6 s.
const MOST_DOUBLINGS: u32 = 4;

/// Time after which a request is no longer expected to succeed, also across regions.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Minimum requested amount: one repeat.
const LEAST: f64 = 1.0;

#[derive(Debug)]
struct Open {
    id: u64,
    at: Instant,
    expected: f64,
}

/// Requests to borrow quota from other hosts.
#[derive(Debug)]
pub struct BorrowRequests {
    /// Starts at a random number, so that responses to a previous process don't match.
    next_id: u64,
    open: VecDeque<Open>,
    next_round: Option<Instant>,
    fruitless: u32,
}

impl BorrowRequests {
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            open: VecDeque::new(),
            next_round: None,
            fruitless: 0,
        }
    }

    /// Starts a round, if one is due: returns the ids of the requests, each for a different host, and the requested
    /// amount. `likely` is what a host is expected to lend.
    pub fn round(
        &mut self,
        missing: f64,
        likely: f64,
        now: Instant,
    ) -> (Vec<u64>, f64) {
        let missing = missing - self.awaited(now);
        if missing <= 0.0 || self.next_round.is_some_and(|at| now < at) {
            return (Vec::new(), 0.0);
        }
        let amount = missing.max(LEAST);
        let expected = likely.clamp(0.01, amount);
        let hosts = (missing / expected).ceil() as usize;
        let hosts = hosts.clamp(1, ASKED_AT_ONCE);
        let doublings = (self.fruitless / FRUITLESS).min(MOST_DOUBLINGS);
        self.next_round = Some(now + PAUSE * 2u32.pow(doublings));
        let ids = (0..hosts).map(|_| self.open_one(expected, now));
        (ids.collect(), amount)
    }

    fn open_one(
        &mut self,
        expected: f64,
        now: Instant,
    ) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.open.push_back(Open {
            id,
            at: now,
            expected,
        });
        self.fruitless = MOST_FRUITLESS.min(self.fruitless + 1);
        id
    }

    /// Handles the response to a request: returns when the borrowed quota expires, or `None` if it has expired or the
    /// id is unknown.
    pub fn on_loan(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<Instant> {
        self.drop_old(now);
        let place = self.open.iter().position(|open| open.id == id)?;
        let open = self.open.remove(place)?;
        self.fruitless = self.fruitless.saturating_sub(MADE_UP);
        Some(open.at + BORROWED_TTL)
    }

    /// Returns the amount that pending requests are expected to bring.
    pub fn awaited(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.drop_old(now);
        let fresh = |open: &&Open| now.saturating_duration_since(open.at) < ANSWER_TIME;
        let fresh = self.open.iter().filter(fresh);
        fresh.map(|open| open.expected).sum()
    }

    fn drop_old(
        &mut self,
        now: Instant,
    ) {
        let old = |open: &Open| now.saturating_duration_since(open.at) >= BORROWED_TTL;
        while self.open.front().is_some_and(old) {
            self.open.pop_front();
        }
    }
}

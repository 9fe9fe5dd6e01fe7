use {
    super::budget_terms::LOAN_VALIDITY,
    crate::clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Time between two rounds of asking, at the least.
const PAUSE: Duration = Duration::from_millis(100);

/// Hosts asked in one round. With the pause it makes 80 messages a second: 300 hosts are asked within 4 s,
/// and asked by one of them each gets a message in 4 s.
const ASKED_AT_ONCE: usize = 8;

/// So many asks that bring nothing double the pause.
const FRUITLESS: u32 = 16;

/// A loan makes up for so many asks that brought nothing: as long as one in sixteen brings
/// something, it goes on.
const MADE_UP: u32 = 16;

/// Asks that brought nothing and count, at the most.
const MOST_FRUITLESS: u32 = FRUITLESS * (MOST_DOUBLINGS + 1);

/// Doublings of the pause, at the most: 1.6 s, so that hosts which are all in need send 5 messages a second.
const MOST_DOUBLINGS: u32 = 4;

/// A host that answers does so within this time, also from another region.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Least amount that is asked for: what one repeat costs.
const LEAST: f64 = 1.0;

#[derive(Debug)]
struct Open {
    id: u64,
    at: Instant,
    expected: f64,
}

/// Loans that were asked for.
#[derive(Debug)]
pub struct LoanAsks {
    /// Ids rise from a number drawn by chance: an answer to the process before means nothing to this one.
    next_id: u64,
    open: VecDeque<Open>,
    next_round: Option<Instant>,
    fruitless: u32,
}

impl LoanAsks {
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            open: VecDeque::new(),
            next_round: None,
            fruitless: 0,
        }
    }

    /// The ids of loans to ask for now, each of a host of its own, and the amount; `likely` is what a host
    /// can lend.
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

    /// A loan has come: until when it can be spent, or `None` if it is too late or was not asked for.
    pub fn on_loan(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<Instant> {
        self.drop_old(now);
        let place = self.open.iter().position(|open| open.id == id)?;
        let open = self.open.remove(place)?;
        self.fruitless = self.fruitless.saturating_sub(MADE_UP);
        Some(open.at + LOAN_VALIDITY)
    }

    /// What hosts that were just asked are expected to lend.
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
        let old = |open: &Open| now.saturating_duration_since(open.at) >= LOAN_VALIDITY;
        while self.open.front().is_some_and(old) {
            self.open.pop_front();
        }
    }
}

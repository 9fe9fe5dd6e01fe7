use {
    super::{Charge, GRANT_TTL, LIMIT_PARTS},
    crate::{
        clock::Instant,
        request::repeats::{Borrowed, RecentCount, Rounding},
    },
    std::time::Duration,
};

/// Quota is prefetched above this many requests per `GRANT_TTL`: below, prefetching saves no messages and quota would
/// expire unused.
const BUSY: f64 = 2.0;

/// A host that did not respond is skipped for this long, about the time in which the failure detector finds a dead
/// host.
const SILENT_PAUSE: Duration = Duration::from_millis(700);

/// The last response, or lack of one, from the host that counts a part.
#[derive(Debug, Clone, Copy, Default)]
struct PartState {
    /// It lacked quota for a request of this cost, and expects to have enough at this time.
    over: Option<(f64, Instant)>,
    /// It did not respond, and is skipped until then.
    silent_until: Option<Instant>,
}

/// For one request, which parts were already tried.
pub type TriedParts = [bool; LIMIT_PARTS];

/// What to do next for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaStep {
    /// The request is covered by prefetched quota.
    Paid,
    /// Request quota from the host that counts this part.
    Ask { part: usize, charge: Charge },
    /// The customer is over its limit.
    Over { come_back: Duration },
    /// No host that counts the customer's usage responds.
    Uncounted,
}

/// A customer's quota as seen by one host: what was prefetched, and the state of each part of the limit.
#[derive(Debug)]
pub struct CustomerQuota {
    ahead: Borrowed,
    /// Cost and number of this host's requests within `GRANT_TTL`.
    cost: RecentCount,
    requests: RecentCount,
    parts: [PartState; LIMIT_PARTS],
    /// The part that is tried first; rotates with each request.
    turn: usize,
}

impl CustomerQuota {
    /// `first_part` differs between hosts, to spread their load.
    pub fn new(first_part: usize) -> Self {
        let recent = || RecentCount::new(GRANT_TTL, Rounding::Down);
        Self {
            ahead: Borrowed::default(),
            cost: recent(),
            requests: recent(),
            parts: Default::default(),
            turn: first_part % LIMIT_PARTS,
        }
    }

    /// Records that a request of this cost has arrived.
    pub fn on_request(
        &mut self,
        cost: f64,
        now: Instant,
    ) {
        self.cost.add(cost, now);
        self.requests.add(1.0, now);
        self.turn = (self.turn + 1) % LIMIT_PARTS;
    }

    /// Returns the next step for a request for which the parts in `asked` were already tried.
    pub fn next_step(
        &mut self,
        cost: f64,
        asked: &TriedParts,
        now: Instant,
    ) -> QuotaStep {
        if self.ahead.left(now) >= cost {
            self.ahead.spend(cost, now);
            return QuotaStep::Paid;
        }
        if let Some(part) = self.open_part(cost, asked, now) {
            let charge = self.charge(cost, now);
            return QuotaStep::Ask { part, charge };
        }
        match self.first_again(cost, now) {
            Some(come_back) => QuotaStep::Over { come_back },
            None => QuotaStep::Uncounted,
        }
    }

    /// Returns the next part to try: one that may have enough, or else an unresponsive one, unless another part has
    /// reported that it has too little.
    fn open_part(
        &self,
        cost: f64,
        asked: &TriedParts,
        now: Instant,
    ) -> Option<usize> {
        let in_turn = (0..LIMIT_PARTS).map(|step| (self.turn + step) % LIMIT_PARTS);
        let mut open = in_turn.filter(|part| !asked[*part]);
        let may_have = |part: &usize| {
            let part = &self.parts[*part];
            !is_over(part, cost, now) && part.silent_until.is_none_or(|until| now >= until)
        };
        let first = open.clone().find(may_have);
        first.or_else(|| match self.first_again(cost, now) {
            Some(_) => None,
            None => open.next(),
        })
    }

    /// Returns what to request: the request's cost, and on a busy host the expected cost of the next ones.
    fn charge(
        &mut self,
        cost: f64,
        now: Instant,
    ) -> Charge {
        let busy = self.requests.sum(now) > BUSY;
        Charge {
            id: rand::random(),
            need: cost,
            ahead: match busy {
                true => (self.cost.sum(now) - self.ahead.left(now)).max(0.0),
                false => 0.0,
            },
        }
    }

    /// Adds quota that was granted beyond the request's cost.
    pub fn on_ahead(
        &mut self,
        amount: f64,
        asked: Instant,
    ) {
        if amount > 0.0 {
            self.ahead.add(amount, asked + GRANT_TTL);
        }
    }

    /// Records that a part responded.
    pub fn on_answer(
        &mut self,
        part: usize,
    ) {
        self.parts[part] = PartState::default();
    }

    /// Records that a part had too little for a request of this cost.
    pub fn on_over(
        &mut self,
        part: usize,
        cost: f64,
        come_back: Duration,
        now: Instant,
    ) {
        self.parts[part] = PartState {
            over: Some((cost, now + come_back)),
            silent_until: None,
        };
    }

    /// Records that a part's host did not respond, or that there is none.
    pub fn on_silent(
        &mut self,
        part: usize,
        now: Instant,
    ) {
        self.parts[part] = PartState {
            over: None,
            silent_until: Some(now + SILENT_PAUSE),
        };
    }

    /// Returns the time until a part that reported too little for this cost has enough; zero if that time has passed
    /// while other parts were tried.
    fn first_again(
        &self,
        cost: f64,
        now: Instant,
    ) -> Option<Duration> {
        let over = self.parts.iter().filter_map(|part| part.over);
        let until = over.filter(|(refused, _)| cost >= *refused);
        let first = until.map(|(_, until)| until).min()?;
        Some(first.saturating_duration_since(now))
    }
}

fn is_over(
    part: &PartState,
    cost: f64,
    now: Instant,
) -> bool {
    part.over
        .is_some_and(|(refused, until)| cost >= refused && now < until)
}

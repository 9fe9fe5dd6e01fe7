use {
    super::{Charge, GRANT_VALIDITY, PARTS},
    crate::{
        clock::Instant,
        request::repeats::{Borrowed, RecentCount, Rounding},
    },
    std::time::Duration,
};

/// Requests within the time of a grant from which on some are paid for ahead: at fewer an ask for each costs as
/// many messages, and nothing lapses.
const BUSY: f64 = 2.0;

/// A host that did not answer is passed over for so long: about as long as hosts take to see that one is gone.
const SILENT_PAUSE: Duration = Duration::from_millis(700);

/// What a part's holder said or did not say last.
#[derive(Debug, Clone, Copy, Default)]
struct PartState {
    /// It had too little for a request of this cost, and will have enough at this time.
    over: Option<(f64, Instant)>,
    /// It did not answer, and is passed over until then.
    silent_until: Option<Instant>,
}

/// Parts that were asked for one request.
pub type AskedParts = [bool; PARTS];

/// What is to be done about the cost of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaStep {
    /// It was paid for with what had been granted ahead.
    Paid,
    /// Ask the holder of this part.
    Ask { part: usize, charge: Charge },
    /// The customer is over its limit; some of it is there again after this time.
    Over { come_back: Duration },
    /// Nobody answers who counts the customer's use.
    Uncounted,
}

/// What one host knows of a customer's use: what it was granted ahead, and how the holders of the parts of the
/// limit stand.
#[derive(Debug)]
pub struct CustomerUse {
    ahead: Borrowed,
    /// Cost and number of this host's requests within the time of a grant.
    cost: RecentCount,
    requests: RecentCount,
    parts: [PartState; PARTS],
    /// The part that is asked first next time: each in turn.
    turn: usize,
}

impl CustomerUse {
    /// Hosts begin with different parts.
    pub fn new(first_part: usize) -> Self {
        let recent = || RecentCount::new(GRANT_VALIDITY, Rounding::Down);
        Self {
            ahead: Borrowed::default(),
            cost: recent(),
            requests: recent(),
            parts: Default::default(),
            turn: first_part % PARTS,
        }
    }

    /// A request of this cost has come.
    pub fn on_request(
        &mut self,
        cost: f64,
        now: Instant,
    ) {
        self.cost.add(cost, now);
        self.requests.add(1.0, now);
        self.turn = (self.turn + 1) % PARTS;
    }

    /// What to do for a request for which these parts were asked.
    pub fn next_step(
        &mut self,
        cost: f64,
        asked: &AskedParts,
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

    /// The next part to ask: one that may have enough, or else one that was silent a moment ago, unless another
    /// said that it has too little.
    fn open_part(
        &self,
        cost: f64,
        asked: &AskedParts,
        now: Instant,
    ) -> Option<usize> {
        let in_turn = (0..PARTS).map(|step| (self.turn + step) % PARTS);
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

    /// What is asked for: the request's cost, and on a busy host what those that follow at once will need.
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

    /// A part's holder granted more than the request costs.
    pub fn on_ahead(
        &mut self,
        amount: f64,
        asked: Instant,
    ) {
        if amount > 0.0 {
            self.ahead.add(amount, asked + GRANT_VALIDITY);
        }
    }

    /// A part's holder answered.
    pub fn on_answer(
        &mut self,
        part: usize,
    ) {
        self.parts[part] = PartState::default();
    }

    /// A part's holder had too little for a request of this cost.
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

    /// A part's holder did not answer, or there is none.
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

    /// Time until a part has enough again for a request of this cost, if any said that it has too little; none if that
    /// time has passed while others were asked.
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

use {
    super::{Charge, GRANT_TTL, LIMIT_PARTS},
    crate::{
        clock::Instant,
        request::repeats::{ExpiringBalance, Rounding, SlidingSum},
    },
    std::time::Duration,
};

/// Quota is prefetched above this many requests per `GRANT_TTL`: below, prefetching saves no messages and quota would
/// expire unused.
const PREFETCH_THRESHOLD: f64 = 2.0;

/// A host that did not respond is skipped for this long, about the time in which the failure detector finds a dead
/// host.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(700);

/// The last response, or lack of one, from the host that counts a part.
#[derive(Debug, Clone, Copy, Default)]
struct PartStatus {
    /// It lacked quota for a request of this cost, and expects to have enough at this time.
    exhausted: Option<(f64, Instant)>,
    /// It did not respond, and is skipped until then.
    unresponsive_until: Option<Instant>,
}

/// For one request, which parts were already tried.
pub type TriedParts = [bool; LIMIT_PARTS];

/// What to do next for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaStep {
    /// The request is covered by prefetched quota.
    Prepaid,
    /// Request quota from the host that counts this part.
    Request { part: usize, charge: Charge },
    /// The customer is over its limit.
    OverLimit { retry_after: Duration },
    /// No host that counts the customer's usage responds.
    Unavailable,
}

/// A customer's quota as seen by one host: what was prefetched, and the state of each part of the limit.
#[derive(Debug)]
pub struct CustomerQuota {
    prefetched: ExpiringBalance,
    /// Cost and number of this host's requests within `GRANT_TTL`.
    cost: SlidingSum,
    requests: SlidingSum,
    parts: [PartStatus; LIMIT_PARTS],
    /// The part that is tried first; rotates with each request.
    first_part: usize,
}

impl CustomerQuota {
    /// `first_part` differs between hosts, to spread their load.
    pub fn new(first_part: usize) -> Self {
        let recent = || SlidingSum::new(GRANT_TTL, Rounding::Down);
        Self {
            prefetched: ExpiringBalance::default(),
            cost: recent(),
            requests: recent(),
            parts: Default::default(),
            first_part: first_part % LIMIT_PARTS,
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
        self.first_part = (self.first_part + 1) % LIMIT_PARTS;
    }

    /// Returns the next step for a request for which the parts in `tried` were already tried.
    pub fn next_step(
        &mut self,
        cost: f64,
        tried: &TriedParts,
        now: Instant,
    ) -> QuotaStep {
        if self.prefetched.available(now) >= cost {
            self.prefetched.spend(cost, now);
            return QuotaStep::Prepaid;
        }
        if let Some(part) = self.next_part(cost, tried, now) {
            let charge = self.charge(cost, now);
            return QuotaStep::Request { part, charge };
        }
        match self.earliest_retry(cost, now) {
            Some(retry_after) => QuotaStep::OverLimit { retry_after },
            None => QuotaStep::Unavailable,
        }
    }

    /// Returns the next part to try: one that may have enough, or else an unresponsive one, unless another part has
    /// reported that it has too little.
    fn next_part(
        &self,
        cost: f64,
        tried: &TriedParts,
        now: Instant,
    ) -> Option<usize> {
        let in_turn = (0..LIMIT_PARTS).map(|step| (self.first_part + step) % LIMIT_PARTS);
        let mut untried = in_turn.filter(|part| !tried[*part]);
        let may_have = |part: &usize| {
            let part = &self.parts[*part];
            !is_exhausted(part, cost, now)
                && part.unresponsive_until.is_none_or(|until| now >= until)
        };
        let first = untried.clone().find(may_have);
        first.or_else(|| match self.earliest_retry(cost, now) {
            Some(_) => None,
            None => untried.next(),
        })
    }

    /// Returns what to request: the request's cost, and on a busy host the expected cost of the next ones.
    fn charge(
        &mut self,
        cost: f64,
        now: Instant,
    ) -> Charge {
        let busy = self.requests.sum(now) > PREFETCH_THRESHOLD;
        Charge {
            id: rand::random(),
            need: cost,
            prefetch: match busy {
                true => (self.cost.sum(now) - self.prefetched.available(now)).max(0.0),
                false => 0.0,
            },
        }
    }

    /// Adds quota that was granted beyond the request's cost.
    pub fn on_prefetched(
        &mut self,
        amount: f64,
        requested_at: Instant,
    ) {
        if amount > 0.0 {
            self.prefetched.add(amount, requested_at + GRANT_TTL);
        }
    }

    /// Records that a part responded.
    pub fn on_answer(
        &mut self,
        part: usize,
    ) {
        self.parts[part] = PartStatus::default();
    }

    /// Records that a part had too little for a request of this cost.
    pub fn on_over_limit(
        &mut self,
        part: usize,
        cost: f64,
        retry_after: Duration,
        now: Instant,
    ) {
        self.parts[part] = PartStatus {
            exhausted: Some((cost, now + retry_after)),
            unresponsive_until: None,
        };
    }

    /// Records that a part's host did not respond, or that there is none.
    pub fn on_unresponsive(
        &mut self,
        part: usize,
        now: Instant,
    ) {
        self.parts[part] = PartStatus {
            exhausted: None,
            unresponsive_until: Some(now + UNRESPONSIVE_BACKOFF),
        };
    }

    /// Returns the time until a part that reported too little for this cost has enough; zero if that time has passed
    /// while other parts were tried, `None` if no part has reported that.
    fn earliest_retry(
        &self,
        cost: f64,
        now: Instant,
    ) -> Option<Duration> {
        let exhausted = self.parts.iter().filter_map(|part| part.exhausted);
        let until = exhausted.filter(|(exhausted_cost, _)| cost >= *exhausted_cost);
        let first = until.map(|(_, until)| until).min()?;
        Some(first.saturating_duration_since(now))
    }
}

fn is_exhausted(
    part: &PartStatus,
    cost: f64,
    now: Instant,
) -> bool {
    part.exhausted
        .is_some_and(|(exhausted_cost, until)| cost >= exhausted_cost && now < until)
}

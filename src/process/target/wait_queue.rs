use {
    super::{Ticket, TicketId},
    crate::{clock::Instant, version::AdapterVersion},
    std::{cmp::Ordering, collections::BTreeMap, time::Duration},
};

/// Each priority step outweighs this much waiting.
const STEP_OF_PRIORITY: f64 = 4.0;

/// Waiting this long adds as much as the ticket's own weight.
const AGEING: Duration = Duration::from_secs(20);

/// Requests that wait at one target, by ticket.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<TicketId, Ticket>,
}

impl WaitQueue {
    pub fn push(
        &mut self,
        ticket: Ticket,
    ) {
        self.waiting.insert(ticket.id, ticket);
    }

    pub fn remove(
        &mut self,
        id: TicketId,
    ) -> Option<Ticket> {
        self.waiting.remove(&id)
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.waiting.values()
    }

    /// True when a request waits for this adapter.
    pub fn wants(
        &self,
        model: &AdapterVersion,
    ) -> bool {
        self.iter()
            .any(|ticket| ticket.model.as_ref() == Some(model))
    }

    /// The request to start next among those for which `ready` holds.
    pub fn best(
        &self,
        ready: impl Fn(&Ticket) -> bool,
        now: Instant,
    ) -> Option<TicketId> {
        self.iter()
            .filter(|ticket| ready(ticket))
            .max_by(|a, b| by_weight(a, b, now))
            .map(|ticket| ticket.id)
    }

    /// The request that is worth least, to be shed first.
    pub fn least(
        &self,
        now: Instant,
    ) -> Option<&Ticket> {
        self.iter().min_by(|a, b| by_weight(a, b, now))
    }

    /// Takes out every request that `gone` names.
    pub fn take_if(
        &mut self,
        gone: impl Fn(&Ticket) -> bool,
    ) -> Vec<Ticket> {
        let ids: Vec<TicketId> = self
            .iter()
            .filter(|ticket| gone(ticket))
            .map(|ticket| ticket.id)
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// What waits for each adapter: the sum of weights, and the latest deadline.
    pub fn demand(
        &self,
        now: Instant,
    ) -> BTreeMap<AdapterVersion, Demand> {
        let mut demand: BTreeMap<AdapterVersion, Demand> = BTreeMap::new();
        for ticket in self.iter() {
            let Some(model) = &ticket.model else { continue };
            let entry = demand.entry(model.clone()).or_insert(Demand {
                score: 0.0,
                latest_deadline: ticket.deadline,
            });
            entry.score += weight(ticket, now);
            entry.latest_deadline = entry.latest_deadline.max(ticket.deadline);
        }
        demand
    }
}

/// What waits for one adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    pub score: f64,
    pub latest_deadline: Instant,
}

/// The heavier is greater; of two alike, the one that came first.
fn by_weight(
    a: &Ticket,
    b: &Ticket,
    now: Instant,
) -> Ordering {
    let by_weight = weight(a, now).total_cmp(&weight(b, now));
    by_weight.then(b.id.cmp(&a.id))
}

/// Weight of a waiting request: worth, priority and age.
pub fn weight(
    ticket: &Ticket,
    now: Instant,
) -> f64 {
    let waited = now.saturating_duration_since(ticket.arrived);
    let age = 1.0 + waited.as_secs_f64() / AGEING.as_secs_f64();
    ticket.worth * STEP_OF_PRIORITY.powi(i32::from(ticket.priority)) * age
}

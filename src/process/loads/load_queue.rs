use {
    crate::{clock::Instant, version::AdapterVersion},
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which a request without a grant is answered, so that its score is renewed.
const REQUEST_TTL: Duration = Duration::from_millis(500);

/// Identifies a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LoadRequestId(pub u64);

/// A target owner's request to load an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRequest {
    pub host: String,
    pub target: String,
    pub model: AdapterVersion,
    /// Weight of the requests that wait for the adapter.
    pub score: f64,
}

/// The answer to a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadDecision {
    /// The load may start; the permit is released under the same id.
    Granted(LoadRequestId),
    Deferred(LoadRequestId),
}

/// Grants permits for concurrent loads over the complete site, highest score first.
///
/// Kept in memory by the host that the hash selects: losing it affects only load times.
#[derive(Debug)]
pub struct LoadQueue {
    max_concurrent: usize,
    permit_ttl: Duration,
    waiting: BTreeMap<LoadRequestId, (LoadRequest, Instant)>,
    granted: BTreeMap<LoadRequestId, (LoadRequest, Instant)>,
}

impl LoadQueue {
    /// Creates a queue whose permits expire after `permit_ttl`.
    pub fn new(
        max_concurrent: usize,
        permit_ttl: Duration,
    ) -> Self {
        Self {
            max_concurrent,
            permit_ttl,
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    /// Adds a request under a unique id.
    pub fn on_request(
        &mut self,
        id: LoadRequestId,
        request: LoadRequest,
        now: Instant,
    ) {
        self.waiting.insert(id, (request, now));
    }

    /// Removes a request whose sender has left.
    pub fn on_cancel(
        &mut self,
        id: LoadRequestId,
    ) {
        self.waiting.remove(&id);
    }

    /// Releases a permit.
    pub fn on_release(
        &mut self,
        id: LoadRequestId,
    ) {
        self.granted.remove(&id);
    }

    /// Removes the requests and permits of a lost host.
    pub fn on_host_gone(
        &mut self,
        host: &str,
    ) {
        self.waiting.retain(|_, (request, _)| request.host != host);
        self.granted.retain(|_, (request, _)| request.host != host);
    }

    /// Returns the decisions that are due now.
    pub fn decide(
        &mut self,
        now: Instant,
    ) -> Vec<LoadDecision> {
        let ttl = self.permit_ttl;
        self.granted
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < ttl);
        let mut decisions = Vec::new();
        while self.granted.len() < self.max_concurrent {
            let Some(id) = self.next_id() else { break };
            if let Some((request, _)) = self.waiting.remove(&id) {
                self.granted.insert(id, (request, now));
                decisions.push(LoadDecision::Granted(id));
            }
        }
        decisions.extend(self.defer_expired(now));
        decisions
    }

    fn next_id(&self) -> Option<LoadRequestId> {
        self.waiting
            .iter()
            .max_by(|(a_id, (a, _)), (b_id, (b, _))| {
                // The earlier one, on a tie.
                a.score.total_cmp(&b.score).then(b_id.cmp(a_id))
            })
            .map(|(id, _)| *id)
    }

    fn defer_expired(
        &mut self,
        now: Instant,
    ) -> Vec<LoadDecision> {
        let expired: Vec<LoadRequestId> = self
            .waiting
            .iter()
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) >= REQUEST_TTL)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.waiting.remove(id);
        }
        expired.into_iter().map(LoadDecision::Deferred).collect()
    }
}

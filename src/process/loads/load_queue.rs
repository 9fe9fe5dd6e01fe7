use {
    crate::{clock::Instant, version::AdapterVersion},
    std::{collections::BTreeMap, time::Duration},
};

/// An ask that was not granted within this time is answered, so that its score is renewed.
const ASK_LIFE: Duration = Duration::from_millis(500);

/// Names one ask at the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AskId(pub u64);

/// An owner asks to load an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadAsk {
    pub host: String,
    pub target: String,
    pub model: AdapterVersion,
    /// Weight of what waits for it.
    pub score: f64,
}

/// What the scheduler answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadDecision {
    /// Go ahead; give the permission back under the ask's own number.
    Granted(AskId),
    NotYet(AskId),
}

/// Grants loads by weight, so many at once over the whole site.
///
/// Held by the host that the hash names; it keeps nothing that must last, since a permission
/// guards only speed.
#[derive(Debug)]
pub struct LoadQueue {
    at_once: usize,
    grant_life: Duration,
    waiting: BTreeMap<AskId, (LoadAsk, Instant)>,
    granted: BTreeMap<AskId, (LoadAsk, Instant)>,
}

impl LoadQueue {
    /// `grant_life` is the time after which a permission that never came back is void.
    pub fn new(
        at_once: usize,
        grant_life: Duration,
    ) -> Self {
        Self {
            at_once,
            grant_life,
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

    /// An ask arrives under a number that no other ask has.
    pub fn on_ask(
        &mut self,
        id: AskId,
        ask: LoadAsk,
        now: Instant,
    ) {
        self.waiting.insert(id, (ask, now));
    }

    /// The asker has gone away.
    pub fn on_gone(
        &mut self,
        id: AskId,
    ) {
        self.waiting.remove(&id);
    }

    /// A permission comes back.
    pub fn on_release(
        &mut self,
        id: AskId,
    ) {
        self.granted.remove(&id);
    }

    /// A host has died: what it asked for and holds is void.
    pub fn on_host_gone(
        &mut self,
        host: &str,
    ) {
        self.waiting.retain(|_, (ask, _)| ask.host != host);
        self.granted.retain(|_, (ask, _)| ask.host != host);
    }

    /// Decisions that are due now.
    pub fn decide(
        &mut self,
        now: Instant,
    ) -> Vec<LoadDecision> {
        let life = self.grant_life;
        self.granted
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < life);
        let mut decisions = Vec::new();
        while self.granted.len() < self.at_once {
            let Some(id) = self.heaviest() else { break };
            if let Some((ask, _)) = self.waiting.remove(&id) {
                self.granted.insert(id, (ask, now));
                decisions.push(LoadDecision::Granted(id));
            }
        }
        decisions.extend(self.answer_old(now));
        decisions
    }

    fn heaviest(&self) -> Option<AskId> {
        self.waiting
            .iter()
            .max_by(|(a_id, (a, _)), (b_id, (b, _))| {
                // Of two alike, the one that came first.
                a.score.total_cmp(&b.score).then(b_id.cmp(a_id))
            })
            .map(|(id, _)| *id)
    }

    fn answer_old(
        &mut self,
        now: Instant,
    ) -> Vec<LoadDecision> {
        let old: Vec<AskId> = self
            .waiting
            .iter()
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) >= ASK_LIFE)
            .map(|(id, _)| *id)
            .collect();
        for id in &old {
            self.waiting.remove(id);
        }
        old.into_iter().map(LoadDecision::NotYet).collect()
    }
}

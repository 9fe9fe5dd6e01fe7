use {
    crate::{
        clock::Instant,
        request::poison::{IncarnationId, PoisonKey},
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which a survival is remembered.
const SURVIVAL_TTL: Duration = Duration::from_secs(30);

/// Maximum number of remembered parts, and of incarnations for each.
const MAX_PARTS: usize = 1024;
const MAX_INCARNATIONS: usize = 6;

/// Incarnations of targets that have lately survived answers, by the parts of their prompts.
///
/// What a host remembers goes along when it accuses a part, so that a crash says little against a part that is answered all
/// the time.
#[derive(Debug, Default)]
pub struct SurvivalMemory {
    survivors: HashMap<PoisonKey, VecDeque<(Instant, IncarnationId)>>,
    /// Parts by the time of their first survival that is remembered, oldest first.
    order: VecDeque<(Instant, PoisonKey)>,
}

impl SurvivalMemory {
    pub fn add(
        &mut self,
        part: PoisonKey,
        incarnation: IncarnationId,
        now: Instant,
    ) {
        self.evict(now);
        let known = self.survivors.entry(part).or_default();
        if known.is_empty() {
            self.order.push_back((now, part));
        }
        known.retain(|(_, survivor)| *survivor != incarnation);
        known.push_back((now, incarnation));
        if known.len() > MAX_INCARNATIONS {
            known.pop_front();
        }
    }

    /// Returns the incarnations that have lately survived answers with this part.
    pub fn recent(
        &self,
        part: &PoisonKey,
        now: Instant,
    ) -> Vec<IncarnationId> {
        let known = self.survivors.get(part).into_iter().flatten();
        let recent = known.filter(|(at, _)| is_recent(*at, now));
        recent.map(|(_, incarnation)| *incarnation).collect()
    }

    /// Looks again at the parts that have been there longest, and forgets those that no target has survived lately.
    fn evict(
        &mut self,
        now: Instant,
    ) {
        while let Some((at, part)) = self.order.front().copied() {
            let is_full = self.order.len() >= MAX_PARTS;
            if is_recent(at, now) && !is_full {
                return;
            }
            self.order.pop_front();
            let known = self.survivors.get_mut(&part);
            let last = known.and_then(|known| known.back().map(|(at, _)| *at));
            match last.filter(|last| is_recent(*last, now) && !is_full) {
                Some(last) => self.order.push_back((last, part)),
                None => drop(self.survivors.remove(&part)),
            }
        }
    }
}

fn is_recent(
    at: Instant,
    now: Instant,
) -> bool {
    now.saturating_duration_since(at) < SURVIVAL_TTL
}

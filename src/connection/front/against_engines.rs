use crate::{
    clock::Instant,
    request::{
        direct::{AdapterCopyState, EngineCandidate},
        notices::Openness,
    },
};

/// Engines that were weighed for a request and could not take it, by the first thing that spoke against
/// each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgainstEngines {
    /// Engines that were weighed.
    pub weighed: usize,
    /// The request was turned away there before.
    pub tried: usize,
    /// They take no request now, by what they say of themselves.
    pub closed: usize,
    /// Avoided after failures.
    pub avoided: usize,
    /// Nobody gives orders to them.
    pub without_holder: usize,
    /// Their holders said a moment ago that they can't take the adapter.
    pub full: usize,
}

impl AgainstEngines {
    pub fn of(
        candidates: &[EngineCandidate],
        now: Instant,
    ) -> Self {
        let mut counts = Self {
            weighed: candidates.len(),
            ..Self::default()
        };
        for candidate in candidates {
            let is_full =
                matches!(candidate.copy_state, AdapterCopyState::Full { until } if until > now);
            if candidate.tried {
                counts.tried += 1;
            } else if candidate.availability == Openness::Closed {
                counts.closed += 1;
            } else if candidate.avoided {
                counts.avoided += 1;
            } else if !candidate.has_holder {
                counts.without_holder += 1;
            } else if is_full {
                counts.full += 1;
            }
        }
        counts
    }
}

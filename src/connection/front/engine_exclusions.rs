use crate::{
    clock::Instant,
    request::{
        direct::{AdapterCopyState, EngineCandidate},
        notices::Availability,
    },
};

/// Counts of the engines that could not take a request, by the first reason that ruled each of them out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineExclusions {
    /// All candidates.
    pub candidates: usize,
    /// Engines that were tried for this request before.
    pub tried: usize,
    /// Engines that have announced that they accept no requests now.
    pub closed: usize,
    /// Engines that are avoided after failures.
    pub avoided: usize,
    /// Engines that no host controls.
    pub without_holder: usize,
    /// Engines whose holder has reported lately that the adapter does not fit.
    pub full: usize,
}

impl EngineExclusions {
    pub fn of(
        candidates: &[EngineCandidate],
        now: Instant,
    ) -> Self {
        let mut exclusions = Self {
            candidates: candidates.len(),
            ..Self::default()
        };
        for candidate in candidates {
            let is_full =
                matches!(candidate.copy_state, AdapterCopyState::Full { until } if until > now);
            if candidate.tried {
                exclusions.tried += 1;
            } else if candidate.availability == Availability::Closed {
                exclusions.closed += 1;
            } else if candidate.avoided {
                exclusions.avoided += 1;
            } else if !candidate.has_holder {
                exclusions.without_holder += 1;
            } else if is_full {
                exclusions.full += 1;
            }
        }
        exclusions
    }
}

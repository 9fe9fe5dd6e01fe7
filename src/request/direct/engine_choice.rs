use std::time::{Duration, Instant};

/// Where an adapter stands on one engine, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    Unknown,
    Ready,
    /// It should be there at `due`.
    Coming {
        due: Instant,
    },
    /// The holder was asked and has not answered yet.
    Asked,
    /// The engine can't take it before `until`.
    Full {
        until: Instant,
    },
}

/// An engine that may run a request, as it stands at this moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCandidate {
    pub copy: CopyState,
    /// Requests of all hosts that run there, against its batch.
    pub load: f64,
    /// It stands in this host's hall.
    pub near: bool,
    /// Time for which it is avoided after failures; zero if it is trusted.
    pub avoided_for: Duration,
    /// Somebody gives orders to it.
    pub has_holder: bool,
    /// This request was turned away there.
    pub tried: bool,
}

/// What is done with a request for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChoice {
    /// Send it to the candidate with this index.
    Send(usize),
    /// Ask the holder of this candidate for the adapter, and wait.
    Ask(usize),
    /// Wait for what is on its way, until this time at the most.
    Wait(Instant),
    /// No engine can take it.
    Nowhere,
}

/// A distant engine counts as so much fuller.
const DISTANCE_COST: f64 = 0.02;

/// An engine this full is used only if there is no other.
const CROWDED: f64 = 0.9;

/// Chooses an engine for a request; the candidates come in the order in which adapters settle.
pub fn choose_engine(
    candidates: &[EngineCandidate],
    now: Instant,
) -> EngineChoice {
    let usable = |at: &usize| {
        let candidate = &candidates[*at];
        candidate.avoided_for.is_zero() && !candidate.tried
    };
    let ready = |at: &usize| is_ready(&candidates[*at], now);
    let best = (0..candidates.len())
        .filter(usable)
        .filter(ready)
        .min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])));
    if let Some(best) = best
        && candidates[best].load < CROWDED
    {
        return EngineChoice::Send(best);
    }
    let awaited = candidates
        .iter()
        .filter_map(|candidate| match candidate.copy {
            CopyState::Coming { due } if !candidate.tried || due > now => Some(due),
            _ => None,
        })
        .min();
    let asked = candidates
        .iter()
        .any(|candidate| candidate.copy == CopyState::Asked);
    if best.is_none() {
        if let Some(due) = awaited {
            return EngineChoice::Wait(due);
        }
        if asked {
            return EngineChoice::Wait(now + Duration::from_millis(50));
        }
    }
    let open = (0..candidates.len()).filter(usable).find(|at| {
        let candidate = &candidates[*at];
        let unknown = match candidate.copy {
            CopyState::Unknown => true,
            CopyState::Full { until } => until <= now,
            _ => false,
        };
        unknown && candidate.has_holder && candidate.load < CROWDED
    });
    match (best, open) {
        (None, Some(open)) => EngineChoice::Ask(open),
        (Some(best), _) => EngineChoice::Send(best),
        (None, None) => EngineChoice::Nowhere,
    }
}

fn is_ready(
    candidate: &EngineCandidate,
    now: Instant,
) -> bool {
    match candidate.copy {
        CopyState::Ready => true,
        CopyState::Coming { due } => due <= now,
        _ => false,
    }
}

fn cost(candidate: &EngineCandidate) -> f64 {
    let distance = match candidate.near {
        true => 0.0,
        false => DISTANCE_COST,
    };
    candidate.load + distance
}

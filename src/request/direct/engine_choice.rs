use {
    super::Policy,
    crate::{
        clock::Instant,
        request::{
            notices::Availability,
            pace::{Reading, StreamLateness},
        },
    },
    std::time::Duration,
};

/// State of an adapter on one engine, as known to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterCopyState {
    Unknown,
    /// Unloaded recently; the engine still caches its weights and can reload them quickly.
    Cached,
    Ready,
    /// Being loaded, expected to be ready at `due`; the lease holder of the engine reports when it is.
    Loading {
        due: Instant,
    },
    /// A load was requested from the lease holder, which has not replied yet.
    Requested,
    /// The engine cannot load it before `until`.
    Full {
        until: Instant,
    },
}

/// An engine that may run a request, with its current state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCandidate {
    pub copy_state: AdapterCopyState,
    /// Expected time to the first event once the adapter is loaded.
    pub time_to_first_event: Duration,
    /// Expected time for which it reads prompts without a break, without and with the request.
    pub reading: Reading,
    /// Requests that run there.
    pub streams: u32,
    /// Expected time to load the adapter from the weight store, if the load is requested now.
    pub load_time: Duration,
    /// Share of its KV memory in use with this request; 1 is full.
    pub memory_share: f64,
    /// Share of its batch in use with this request; above 1, requests queue.
    pub batch_share: f64,
    /// Running tokens, as a multiple of the mean over the service's engines.
    pub relative_load: f64,
    /// In the same hall as this host.
    pub same_hall: bool,
    /// There is no recent report of the load that other hosts put on it.
    pub load_unknown: bool,
    /// In failure backoff.
    pub avoided: bool,
    /// A host holds the lease of the engine, so adapters can be loaded.
    pub has_holder: bool,
    /// This request was already sent to it and failed.
    pub tried: bool,
    /// Availability announced by the engine itself.
    pub availability: Availability,
    /// Extra time accepted there because other hosts send the same prompt parts to it.
    pub prompt_affinity: Duration,
}

/// What to do with a request for an engine. Indices refer to the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChoice {
    /// Send the request to candidate `to`, and request another copy of the adapter at candidate `also_load`, if set.
    Send { to: usize, also_load: Option<usize> },
    /// Request a load of the adapter from the lease holder of this candidate, and wait.
    RequestLoad(usize),
    /// Wait at most until `until` for a load in progress; `expected` is the estimated time to the first
    /// event, if known.
    Wait {
        until: Instant,
        expected: Option<Duration>,
    },
    /// Keep the request until `until`, and choose again: every engine is so busy that answers would become late.
    Hold { until: Instant },
    /// No engine can take the request.
    NoEngine,
}

/// Inputs of the choice that do not depend on the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceContext {
    /// Cost of another copy of the adapter, as the delay accepted to avoid it.
    pub copy_price: Duration,
    /// Time until the latency objective is missed.
    pub time_to_goal: Duration,
    /// Longest pause that keeps a stream in time; `None` if pauses do not count.
    pub allowed_pause: Option<Duration>,
    /// Requests that would make answers late may be sent later.
    pub may_hold: bool,
    /// 0 is the most urgent.
    pub priority: u8,
    pub policy: Policy,
    pub now: Instant,
}

/// Added to the cost of an engine in another hall.
const REMOTE_HALL_PENALTY_S: f64 = 0.004;

/// Expected load time from the weight store while no load time has been reported.
pub const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(270);

/// Expected time to reload weights that the engine has cached.
pub(super) const CACHED_LOAD_S: f64 = 0.03;

/// Surcharge for loading on an engine other than the adapter's first one, as a multiple of the copy cost.
/// Keeps an adapter on one engine, whose cached weights reload much faster than from the weight store.
const NON_HOME_SURCHARGE: f64 = 12.0;

/// The same surcharge for an adapter that no engine has. Lower, so that an engine with a long backlog is
/// skipped, but concurrent requests on several hosts still choose the same engine.
const NON_HOME_SURCHARGE_IF_UNLOADED: f64 = 0.8;

/// Additional surcharge for each further rank, as a multiple of the copy cost.
const RANK_SURCHARGE: f64 = 0.07;

/// Relative load above which an engine is penalized: prefills slow down all answers that it generates.
const HIGH_RELATIVE_LOAD: f64 = 1.2;

/// Penalty for each unit of relative load above the threshold.
const RELATIVE_LOAD_PENALTY_S: f64 = 0.3;

const MAX_RELATIVE_LOAD_EXCESS: f64 = 3.0;

/// Share of memory in use above which an engine is penalized.
const HIGH_MEMORY_SHARE: f64 = 0.85;

/// Penalty for an engine whose memory is full.
const FULL_MEMORY_PENALTY_S: f64 = 1.5;

/// Share of the batch in use above which an engine is penalized, as further requests will queue.
const HIGH_BATCH_SHARE: f64 = 0.9;

/// Requests of this priority and less urgent ones get the full batch penalty.
const LOWEST_PRIORITY: u8 = 2;

/// Penalty for an engine whose batch is full, for the least urgent requests.
const FULL_BATCH_PENALTY_S: f64 = 1.0;

/// Penalty for an engine whose load is not known.
const UNKNOWN_LOAD_PENALTY_S: f64 = 0.1;

/// A request goes to a ready but busy engine if that costs at most this much more than waiting for a load.
const TOLERATED_EXTRA_COST_S: f64 = 0.1;

/// A busy engine is also accepted if its cost is at most this share of the time left for the latency objective.
const ACCEPTED_AIM_SHARE: f64 = 0.6;

/// Share of the shorter one of load and queue that adds to the longer: they overlap, but not entirely.
pub(super) const OVERLAP_SHARE: f64 = 0.2;

/// Cost of an answer that becomes late: about what a caller of an interactive route accepts to wait.
const LATE_ANSWER_COST_S: f64 = 1.0;

/// The same for an engine that has to load the adapter first: what it reads now is partly over by then.
const LATE_ANSWER_AFTER_LOAD_COST_S: f64 = 0.1;

/// A request is held back if it makes more answers late than this.
const MAX_LATE_ANSWERS: f64 = 0.3;

/// Time after which an engine is chosen again for a request that is held back: about that of reading a long prompt.
const HOLD_INTERVAL: Duration = Duration::from_millis(60);

/// A request is held back only while this multiple of its expected time to the first event is left: estimates may be
/// this far off.
const FIRST_EVENT_MARGIN: f64 = 1.5;

/// Time allowed for the reply of a lease holder.
pub(super) const HOLDER_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Chooses an engine for a request; `candidates` are in the adapter's order of preference.
///
/// Engines of limited availability are used only for requests that would otherwise wait for a load or be rejected, and
/// load an adapter only if no other engine can.
pub fn choose_engine(
    candidates: &[EngineCandidate],
    context: &ChoiceContext,
) -> EngineChoice {
    let is_open = |candidate: &EngineCandidate| candidate.availability == Availability::Open;
    let choice = choose_among(candidates, context, &is_open);
    if let EngineChoice::Send { to, .. } = choice
        && should_hold(&candidates[to], context)
    {
        let until = context.now + HOLD_INTERVAL;
        return EngineChoice::Hold { until };
    }
    if matches!(choice, EngineChoice::Send { .. }) || candidates.iter().all(is_open) {
        return choice;
    }
    let is_limited_and_ready = |candidate: &EngineCandidate| {
        candidate.availability == Availability::Limited
            && candidate.copy_state == AdapterCopyState::Ready
    };
    match (
        choose_among(candidates, context, &is_limited_and_ready),
        choice,
    ) {
        (send @ EngineChoice::Send { .. }, _) => send,
        (_, EngineChoice::NoEngine) => choose_among(candidates, context, &|candidate| {
            candidate.availability != Availability::Closed
        }),
        (_, choice) => choice,
    }
}

/// Chooses among the candidates that `accepts` returns true for.
fn choose_among(
    candidates: &[EngineCandidate],
    context: &ChoiceContext,
    accepts: &dyn Fn(&EngineCandidate) -> bool,
) -> EngineChoice {
    let non_home_surcharge = match candidates
        .iter()
        .any(|candidate| is_loaded_or_cached(candidate.copy_state))
    {
        true => NON_HOME_SURCHARGE,
        false => NON_HOME_SURCHARGE_IF_UNLOADED,
    };
    let best = |accept: &dyn Fn(&EngineCandidate) -> bool, late_cost_s: f64| {
        let costs = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.tried && !candidate.avoided)
            .filter(|(_, candidate)| accepts(candidate) && accept(candidate))
            .map(|(at, candidate)| {
                let lateness = late_answers(candidate, context) * late_cost_s;
                (
                    at,
                    cost(at, candidate, non_home_surcharge, context),
                    lateness,
                )
            });
        let best = costs.min_by(|a, b| (a.1 + a.2).total_cmp(&(b.1 + b.2)));
        best.map(|(at, cost, _)| (at, cost))
    };
    let ready = best(
        &|candidate| candidate.copy_state == AdapterCopyState::Ready,
        LATE_ANSWER_COST_S,
    );
    let loading = best(&|candidate| is_loading(candidate.copy_state), 0.0);
    let loadable = best(
        &|candidate| can_load(candidate, context.now),
        LATE_ANSWER_AFTER_LOAD_COST_S,
    );
    // While one engine loads the adapter, no second load is requested: a slow load means that all loads are slow.
    let loadable = loadable.filter(|_| loading.is_none());
    let load_cost = loading.or(loadable).map_or(f64::INFINITY, |(_, cost)| cost);
    match (ready, loading, loadable) {
        (Some((to, cost)), _, _) if is_good_enough(cost, load_cost, context) => {
            let also_load =
                loadable.filter(|(_, other)| context.policy.adds_copies && *other < cost);
            let also_load = also_load.map(|(at, _)| at);
            EngineChoice::Send { to, also_load }
        }
        (_, Some((at, cost)), _) => EngineChoice::Wait {
            until: wait_until(&candidates[at], context.now),
            expected: has_due_time(candidates[at].copy_state)
                .then(|| Duration::from_secs_f64(cost)),
        },
        (_, None, Some((at, _))) => EngineChoice::RequestLoad(at),
        (Some((to, _)), None, None) => EngineChoice::Send {
            to,
            also_load: None,
        },
        (None, None, None) => EngineChoice::NoEngine,
    }
}

/// Returns true if a request is better sent later: now it would make answers late, and it can wait without being late
/// itself.
///
/// A request is not held for an engine whose load is unknown: without a holder, none would be sent in time.
fn should_hold(
    candidate: &EngineCandidate,
    context: &ChoiceContext,
) -> bool {
    let needed = candidate.time_to_first_event.mul_f64(FIRST_EVENT_MARGIN) + HOLD_INTERVAL;
    context.may_hold
        && !candidate.load_unknown
        && late_answers(candidate, context) > MAX_LATE_ANSWERS
        && needed < context.time_to_goal
}

/// Returns the number of answers that become late if the request is sent to an engine.
fn late_answers(
    candidate: &EngineCandidate,
    context: &ChoiceContext,
) -> f64 {
    let Some(allowed) = context.allowed_pause else {
        return 0.0;
    };
    let by_pause = StreamLateness::of(candidate.reading, candidate.streams, allowed).total();
    let is_late = candidate.time_to_first_event > context.time_to_goal;
    by_pause + f64::from(u8::from(is_late))
}

/// Returns true if a ready engine with this cost is preferable to waiting for a load.
fn is_good_enough(
    cost: f64,
    load_cost: f64,
    context: &ChoiceContext,
) -> bool {
    cost <= load_cost + TOLERATED_EXTRA_COST_S
        || cost <= ACCEPTED_AIM_SHARE * context.time_to_goal.as_secs_f64()
}

fn has_due_time(copy_state: AdapterCopyState) -> bool {
    matches!(copy_state, AdapterCopyState::Loading { .. })
}

/// Returns true if the engine has the adapter loaded, loading or cached.
fn is_loaded_or_cached(copy_state: AdapterCopyState) -> bool {
    !matches!(
        copy_state,
        AdapterCopyState::Unknown | AdapterCopyState::Full { .. }
    )
}

fn is_loading(copy_state: AdapterCopyState) -> bool {
    matches!(
        copy_state,
        AdapterCopyState::Loading { .. } | AdapterCopyState::Requested
    )
}

/// Returns true if a load of the adapter can be requested at this engine.
fn can_load(
    candidate: &EngineCandidate,
    now: Instant,
) -> bool {
    let can_accept = match candidate.copy_state {
        AdapterCopyState::Unknown | AdapterCopyState::Cached => true,
        AdapterCopyState::Full { until } => until <= now,
        _ => false,
    };
    can_accept && candidate.has_holder
}

fn wait_until(
    candidate: &EngineCandidate,
    now: Instant,
) -> Instant {
    match candidate.copy_state {
        // If the lease holder has not reported the load as done by then, it is asked again.
        AdapterCopyState::Loading { due } => due.max(now) + HOLDER_REPLY_TIMEOUT,
        _ => now + HOLDER_REPLY_TIMEOUT,
    }
}

/// Returns the expected time to the first event plus all penalties, in seconds. `non_home_surcharge` applies to
/// engines other than the first, as a multiple of the copy cost.
fn cost(
    rank: usize,
    candidate: &EngineCandidate,
    non_home_surcharge: f64,
    context: &ChoiceContext,
) -> f64 {
    let wait = candidate.time_to_first_event.as_secs_f64();
    let hall_penalty = match candidate.same_hall {
        true => 0.0,
        false => REMOTE_HALL_PENALTY_S,
    };
    let full_penalty = match context.policy.avoids_full_engines {
        true => {
            memory_penalty(candidate.memory_share)
                + batch_penalty(candidate.batch_share, context.priority)
        }
        false => 0.0,
    };
    let unknown_penalty = match candidate.load_unknown {
        true => UNKNOWN_LOAD_PENALTY_S,
        false => 0.0,
    };
    let load_penalty = match context.policy.avoids_crowds {
        true => {
            (candidate.relative_load - HIGH_RELATIVE_LOAD).clamp(0.0, MAX_RELATIVE_LOAD_EXCESS)
                * RELATIVE_LOAD_PENALTY_S
        }
        false => 0.0,
    };
    let load_time = match candidate.copy_state {
        AdapterCopyState::Ready => 0.0,
        AdapterCopyState::Loading { due } => {
            due.saturating_duration_since(context.now).as_secs_f64()
        }
        AdapterCopyState::Requested => candidate.load_time.as_secs_f64(),
        AdapterCopyState::Cached if context.policy.uses_engine_memory => CACHED_LOAD_S,
        AdapterCopyState::Unknown | AdapterCopyState::Cached | AdapterCopyState::Full { .. } => {
            let surcharge = match context.policy.prefers_home {
                true => rank_surcharge(rank, non_home_surcharge),
                false => 0.0,
            };
            candidate.load_time.as_secs_f64() + context.copy_price.as_secs_f64() * (1.0 + surcharge)
        }
    };
    let affinity = match candidate.copy_state {
        AdapterCopyState::Ready => candidate.prompt_affinity.as_secs_f64(),
        _ => 0.0,
    };
    wait.max(load_time)
        + OVERLAP_SHARE * wait.min(load_time)
        + hall_penalty
        + full_penalty
        + load_penalty
        + unknown_penalty
        - affinity
}

/// Returns the surcharge for a load on the engine at this rank of the adapter's order of preference, as a
/// multiple of the copy cost.
fn rank_surcharge(
    rank: usize,
    non_home_surcharge: f64,
) -> f64 {
    match rank {
        0 => 0.0,
        rank => non_home_surcharge + rank as f64 * RANK_SURCHARGE,
    }
}

/// Returns the penalty for a full batch in seconds, lower for urgent requests, which engines admit first.
fn batch_penalty(
    share: f64,
    priority: u8,
) -> f64 {
    let priority_factor =
        f64::from(priority.min(LOWEST_PRIORITY) + 1) / f64::from(LOWEST_PRIORITY + 1);
    priority_factor * (share - HIGH_BATCH_SHARE).max(0.0) / (1.0 - HIGH_BATCH_SHARE)
        * FULL_BATCH_PENALTY_S
}

/// Returns the penalty for full memory, in seconds.
fn memory_penalty(share: f64) -> f64 {
    (share - HIGH_MEMORY_SHARE).max(0.0) / (1.0 - HIGH_MEMORY_SHARE) * FULL_MEMORY_PENALTY_S
}

use {
    super::Policy,
    crate::{clock::Instant, request::notices::Availability},
    std::time::Duration,
};

/// Where an adapter stands on one engine, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    Unknown,
    /// It was there lately, and would come back fast.
    Remembered,
    Ready,
    /// It should be there at `due`; its holder tells when it is.
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
    /// Expected time to the first event there, if the adapter were there.
    pub wait: Duration,
    /// Expected time until the adapter is there, if it is asked for now and must come from the weight
    /// store.
    pub load: Duration,
    /// Share of its memory for prompts and answers that would be taken, this request included.
    pub memory: f64,
    /// Share of its batch that would be taken.
    pub batch: f64,
    /// Tokens that run there, against the mean over all engines of the service.
    pub crowd: f64,
    /// It stands in this host's hall.
    pub near: bool,
    /// What other hosts send there is not known.
    pub unknown: bool,
    /// It is avoided after failures.
    pub avoided: bool,
    /// Somebody gives orders to it.
    pub has_holder: bool,
    /// This request was turned away there.
    pub tried: bool,
    /// Whether it may get a request now, by what it says of itself.
    pub openness: Availability,
}

/// What is done with a request for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChoice {
    /// Send it to the candidate with this index, and ask for another copy at `ask` if there is one.
    Send { to: usize, ask: Option<usize> },
    /// Ask the holder of this candidate for the adapter, and wait.
    Ask(usize),
    /// Wait for what is on its way, until this time at the most; the first event is expected after
    /// `expected`, if anything is known of that.
    Wait {
        until: Instant,
        expected: Option<Duration>,
    },
    /// No engine can take it.
    Nowhere,
}

/// What a request weighs beside the engines' load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceTerms {
    /// Price of another copy of the adapter, as a time that requests would rather wait.
    pub copy_price: Duration,
    /// Time that is left until the answer is late.
    pub aim_left: Duration,
    /// Rank of the request, 0 first; engines admit urgent ones ahead of others.
    pub priority: u8,
    /// Mechanisms that are at work.
    pub policy: Policy,
    pub now: Instant,
}

/// A distant engine counts as so much slower.
const DISTANCE: f64 = 0.004;

/// Expected time of a load from the weight store while its holder has told nothing else.
pub const USUAL_LOAD: Duration = Duration::from_millis(270);

/// Expected time of a load of what was there lately, in seconds.
const RELOAD: f64 = 0.03;

/// An engine that is not the adapter's first one counts as slower by this multiple of a copy's price:
/// an adapter comes back ten times as fast where it was before, and for nothing, so it should come back
/// to the same engine.
const AWAY: f64 = 12.0;

/// The same for an adapter that no engine has: hosts that ask for it at the same moment should choose
/// the same engine, but one with a long backlog is passed by.
const AWAY_OF_NEW: f64 = 0.8;

/// Each further place counts as slower by this share of a copy's price.
const PLACE: f64 = 0.07;

/// An engine with more than this multiple of the mean load makes the answers of all its requests
/// slower: prompts are read between the steps of running answers.
const CROWDED: f64 = 1.2;

/// Slowness of an engine for each further mean load, in seconds.
const CROWDING: f64 = 0.3;

const MOST_CROWDING: f64 = 3.0;

/// Memory that is taken beyond this share makes an engine slower.
const PRESSED: f64 = 0.85;

/// Slowness of an engine whose memory is wholly taken, in seconds.
const PRESSURE: f64 = 1.5;

/// A batch that is taken beyond this share makes an engine slower: further requests wait for a place.
const PRESSED_BATCH: f64 = 0.9;

/// Requests of this rank and those behind it wait for a place as long as any.
const LEAST_URGENT: u8 = 2;

/// Slowness of an engine whose batch is wholly taken for the least urgent requests, in seconds.
const BATCH_PRESSURE: f64 = 1.0;

/// Slowness that is assumed where the load is not known, in seconds.
const UNKNOWN: f64 = 0.1;

/// A request goes to a busy copy while another one comes, if it loses no more than this, in seconds.
const TOLERABLE: f64 = 0.1;

/// A busy copy is good enough if it uses no more than this share of the time that is left.
const AIM_SHARE: f64 = 0.6;

/// Wait for the answer of a holder that was asked.
const ASKED_WAIT: Duration = Duration::from_millis(60);

/// Chooses an engine for a request; the candidates come in the order in which the adapter settles.
///
/// Engines that take only so many requests get those that would else have to wait for their adapter or be refused. None is
/// asked to load an adapter while another engine can.
pub fn choose_engine(
    candidates: &[EngineCandidate],
    terms: &ChoiceTerms,
) -> EngineChoice {
    let is_open = |candidate: &EngineCandidate| candidate.openness == Availability::Open;
    let choice = choose_among(candidates, terms, &is_open);
    if matches!(choice, EngineChoice::Send { .. }) || candidates.iter().all(is_open) {
        return choice;
    }
    let is_spare = |candidate: &EngineCandidate| {
        candidate.openness == Availability::Limited && candidate.copy == CopyState::Ready
    };
    match (choose_among(candidates, terms, &is_spare), choice) {
        (send @ EngineChoice::Send { .. }, _) => send,
        (_, EngineChoice::Nowhere) => choose_among(candidates, terms, &|candidate| {
            candidate.openness != Availability::Closed
        }),
        (_, choice) => choice,
    }
}

/// Chooses among the engines that are accepted.
fn choose_among(
    candidates: &[EngineCandidate],
    terms: &ChoiceTerms,
    accepts: &dyn Fn(&EngineCandidate) -> bool,
) -> EngineChoice {
    let away = match candidates.iter().any(|candidate| has_copy(candidate.copy)) {
        true => AWAY,
        false => AWAY_OF_NEW,
    };
    let best = |accept: &dyn Fn(&EngineCandidate) -> bool| {
        let priced = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.tried && !candidate.avoided)
            .filter(|(_, candidate)| accepts(candidate) && accept(candidate))
            .map(|(at, candidate)| (at, cost(at, candidate, away, terms)));
        priced.min_by(|a, b| a.1.total_cmp(&b.1))
    };
    let ready = best(&|candidate| candidate.copy == CopyState::Ready);
    let coming = best(&|candidate| is_coming(candidate.copy));
    let open = best(&|candidate| is_open(candidate, terms.now));
    // What is on its way somewhere is asked for nowhere else: if it is slow, loads are slow everywhere.
    let open = open.filter(|_| coming.is_none());
    let other_cost = coming.or(open).map_or(f64::INFINITY, |(_, cost)| cost);
    match (ready, coming, open) {
        (Some((to, cost)), _, _) if is_good_enough(cost, other_cost, terms) => {
            let ask = open.filter(|(_, other)| terms.policy.adds_copies && *other < cost);
            let ask = ask.map(|(at, _)| at);
            EngineChoice::Send { to, ask }
        }
        (_, Some((at, cost)), _) => EngineChoice::Wait {
            until: wait_until(&candidates[at], terms.now),
            expected: is_timed(candidates[at].copy).then(|| Duration::from_secs_f64(cost)),
        },
        (_, None, Some((at, _))) => EngineChoice::Ask(at),
        (Some((to, _)), None, None) => EngineChoice::Send { to, ask: None },
        (None, None, None) => EngineChoice::Nowhere,
    }
}

/// True if a copy that is there is better than one that comes, or good enough meanwhile.
fn is_good_enough(
    cost: f64,
    other_cost: f64,
    terms: &ChoiceTerms,
) -> bool {
    cost <= other_cost + TOLERABLE || cost <= AIM_SHARE * terms.aim_left.as_secs_f64()
}

/// True if it is known when the copy should be there.
fn is_timed(copy: CopyState) -> bool {
    matches!(copy, CopyState::Coming { .. })
}

/// True if the engine has the adapter, or will have, or gets it back for nothing.
fn has_copy(copy: CopyState) -> bool {
    !matches!(copy, CopyState::Unknown | CopyState::Full { .. })
}

fn is_coming(copy: CopyState) -> bool {
    matches!(copy, CopyState::Coming { .. } | CopyState::Asked)
}

/// True if the adapter can be asked for there.
fn is_open(
    candidate: &EngineCandidate,
    now: Instant,
) -> bool {
    let free = match candidate.copy {
        CopyState::Unknown | CopyState::Remembered => true,
        CopyState::Full { until } => until <= now,
        _ => false,
    };
    free && candidate.has_holder
}

fn wait_until(
    candidate: &EngineCandidate,
    now: Instant,
) -> Instant {
    match candidate.copy {
        // Its holder tells when it is there; past that time it is asked again.
        CopyState::Coming { due } => due.max(now) + ASKED_WAIT,
        _ => now + ASKED_WAIT,
    }
}

/// Expected time to the first event, in seconds, with what else speaks against the engine; `away` is the
/// price of other engines than the first, as a multiple of a copy's.
fn cost(
    place: usize,
    candidate: &EngineCandidate,
    away: f64,
    terms: &ChoiceTerms,
) -> f64 {
    let wait = candidate.wait.as_secs_f64();
    let distance = match candidate.near {
        true => 0.0,
        false => DISTANCE,
    };
    let pressure = match terms.policy.avoids_full_engines {
        true => pressure(candidate.memory) + batch_pressure(candidate.batch, terms.priority),
        false => 0.0,
    };
    let unknown = match candidate.unknown {
        true => UNKNOWN,
        false => 0.0,
    };
    let crowding = match terms.policy.avoids_crowds {
        true => (candidate.crowd - CROWDED).clamp(0.0, MOST_CROWDING) * CROWDING,
        false => 0.0,
    };
    let arrival = match candidate.copy {
        CopyState::Ready => 0.0,
        CopyState::Coming { due } => due.saturating_duration_since(terms.now).as_secs_f64(),
        CopyState::Asked => candidate.load.as_secs_f64(),
        CopyState::Remembered if terms.policy.uses_engine_memory => RELOAD,
        CopyState::Unknown | CopyState::Remembered | CopyState::Full { .. } => {
            let surcharge = match terms.policy.prefers_home {
                true => from_home(place, away),
                false => 0.0,
            };
            candidate.load.as_secs_f64() + terms.copy_price.as_secs_f64() * (1.0 + surcharge)
        }
    };
    wait.max(arrival) + 0.2 * wait.min(arrival) + distance + pressure + crowding + unknown
}

/// Price of a copy at this place of the order in which the adapter settles, beside that at the first.
fn from_home(
    place: usize,
    away: f64,
) -> f64 {
    match place {
        0 => 0.0,
        place => away + place as f64 * PLACE,
    }
}

/// Urgent requests get the next place that is free, so a full batch holds them up less.
fn batch_pressure(
    share: f64,
    priority: u8,
) -> f64 {
    let rank = f64::from(priority.min(LEAST_URGENT) + 1) / f64::from(LEAST_URGENT + 1);
    rank * (share - PRESSED_BATCH).max(0.0) / (1.0 - PRESSED_BATCH) * BATCH_PRESSURE
}

fn pressure(share: f64) -> f64 {
    (share - PRESSED).max(0.0) / (1.0 - PRESSED) * PRESSURE
}

use {
    super::{
        AdapterCopyState, EngineCandidate,
        engine_choice::{CACHED_LOAD_S, HOLDER_REPLY_TIMEOUT, OVERLAP_SHARE},
    },
    crate::{clock::Instant, request::notices::Availability},
    std::time::Duration,
};

/// What an unplaced request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// A load that the lease holder of an engine has confirmed.
    Load,
    /// The reply of a lease holder to a request for a load.
    HolderReply,
    /// Room at engines that are full for the adapter.
    Room,
    /// Engines with fewer prompts to read: now the request would make answers late.
    Capacity,
    /// The end of an engine's announced unavailability.
    Opening,
    /// Nothing in particular: no engine is known that could take the request later.
    AnyEngine,
}

impl Awaited {
    /// Returns its word in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::HolderReply => "holder_reply",
            Self::Room => "room",
            Self::Capacity => "capacity",
            Self::Opening => "opening",
            Self::AnyEngine => "any_engine",
        }
    }
}

/// When some engine can be expected to answer a request that none can take now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutlook {
    /// A load is under way and its lease holder has said when it is done; the first event is expected after this
    /// time.
    Confirmed { expected: Duration },
    /// No lease holder has confirmed a load. `expected` assumes that the next one asked accepts it; `None` if there is
    /// none to ask.
    Unconfirmed {
        expected: Option<Duration>,
        awaited: Awaited,
    },
    /// No engine holds the adapter, and for `lasted` no lease holder of any engine has been known.
    NoHolder { lasted: Duration },
}

impl EngineOutlook {
    /// Returns what a request with this outlook waits for.
    pub fn awaited(self) -> Awaited {
        match self {
            Self::Confirmed { .. } => Awaited::Load,
            Self::Unconfirmed { awaited, .. } => awaited,
            Self::NoHolder { .. } => Awaited::AnyEngine,
        }
    }
}

/// Summarises the candidates for a request as the earliest time at which one can be expected to answer.
///
/// `room_at` is when the first engine outside the sample is no longer known to be full for the adapter.
pub fn outlook_of(
    candidates: &[EngineCandidate],
    room_at: Option<Instant>,
    now: Instant,
) -> EngineOutlook {
    let usable = candidates
        .iter()
        .filter(|candidate| !candidate.tried && !candidate.avoided && candidate.has_holder)
        .filter(|candidate| candidate.availability != Availability::Closed);
    let mut confirmed: Option<Duration> = None;
    let mut unconfirmed: Option<(Duration, Awaited)> = None;
    for candidate in usable {
        match expectation(candidate, now) {
            Some((expected, Awaited::Load)) => {
                confirmed = Some(confirmed.map_or(expected, |other| other.min(expected)));
            }
            Some(other) => unconfirmed = earlier(unconfirmed, other),
            None => {}
        }
    }
    if let Some(expected) = confirmed {
        return EngineOutlook::Confirmed { expected };
    }
    let load_times = candidates.iter().map(|candidate| candidate.load_time);
    let load_time = load_times.min().unwrap_or(super::DEFAULT_LOAD_TIME);
    if let Some(room_at) = room_at {
        let expected = room_at.saturating_duration_since(now) + load_time;
        unconfirmed = earlier(unconfirmed, (expected, Awaited::Room));
    }
    EngineOutlook::Unconfirmed {
        expected: unconfirmed.map(|(expected, _)| expected),
        awaited: unconfirmed.map_or(Awaited::AnyEngine, |(_, awaited)| awaited),
    }
}

fn earlier(
    known: Option<(Duration, Awaited)>,
    other: (Duration, Awaited),
) -> Option<(Duration, Awaited)> {
    match known {
        Some(known) if known.0 <= other.0 => Some(known),
        _ => Some(other),
    }
}

/// Returns the expected time to the first event at an engine that has to load the adapter first, and what that depends
/// on.
fn expectation(
    candidate: &EngineCandidate,
    now: Instant,
) -> Option<(Duration, Awaited)> {
    let after_load = |load: Duration| {
        let queue = candidate.time_to_first_event;
        load.max(queue) + load.min(queue).mul_f64(OVERLAP_SHARE)
    };
    let asked = HOLDER_REPLY_TIMEOUT + candidate.load_time;
    match candidate.copy_state {
        AdapterCopyState::Ready => None,
        AdapterCopyState::Loading { due } if now <= due + HOLDER_REPLY_TIMEOUT => {
            let load = due.saturating_duration_since(now);
            Some((after_load(load), Awaited::Load))
        }
        // The load is overdue, and its holder is asked again.
        AdapterCopyState::Loading { .. } => {
            Some((after_load(HOLDER_REPLY_TIMEOUT), Awaited::HolderReply))
        }
        AdapterCopyState::Full { until } if until > now => {
            let load = until.saturating_duration_since(now) + candidate.load_time;
            Some((after_load(load), Awaited::Room))
        }
        AdapterCopyState::Cached => {
            let load = HOLDER_REPLY_TIMEOUT + Duration::from_secs_f64(CACHED_LOAD_S);
            Some((after_load(load), Awaited::HolderReply))
        }
        AdapterCopyState::Unknown | AdapterCopyState::Requested | AdapterCopyState::Full { .. } => {
            Some((after_load(asked), Awaited::HolderReply))
        }
    }
}

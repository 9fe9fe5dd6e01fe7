//! Requests that are held back at this host, as they would make answers late.

use {
    super::{AdapterCopyState, ChoiceContext, EngineCandidate, engine_choice::late_answers},
    crate::{clock::Instant, request::notices::Availability},
    std::time::Duration,
};

/// A request is held back if it makes more answers late than this.
const MAX_LATE_ANSWERS: f64 = 0.3;

/// A request is held back only while this multiple of its expected time to the first event is left: estimates may be
/// this far off.
const FIRST_EVENT_MARGIN: f64 = 1.5;

/// Longest time for which a request is held before an engine is chosen again: about that of reading a long prompt.
const MAX_HOLD: Duration = Duration::from_millis(60);

/// Shortest time, which bounds the number of choices.
const MIN_HOLD: Duration = Duration::from_millis(10);

/// Divisor of the time that a request can spare. The quotient delays its next choice, so that of the requests that wait
/// for the same engine the one with the least time to spare chooses first.
const SPARE_TIME_DIVISOR: u32 = 500;

/// Returns until when a request is held that would be sent to `chosen`; `None` if it should be sent now.
///
/// The next choice is made when the first engine is expected to have read its prompts. A later one would leave that
/// engine idle while requests are held, and they would become late at high load.
pub(super) fn hold_until(
    chosen: &EngineCandidate,
    candidates: &[EngineCandidate],
    context: &ChoiceContext,
) -> Option<Instant> {
    let needed = chosen.time_to_first_event.mul_f64(FIRST_EVENT_MARGIN) + MAX_HOLD;
    if !makes_answers_late(chosen, context) || needed >= context.time_to_goal {
        return None;
    }
    let spare = context.time_to_goal - needed;
    let usable = candidates.iter().filter(|candidate| is_usable(candidate));
    let time_to_idle = usable.map(|candidate| candidate.time_to_idle).min();
    let hold = time_to_idle.unwrap_or(MAX_HOLD) + spare / SPARE_TIME_DIVISOR;
    Some(context.now + hold.clamp(MIN_HOLD, MAX_HOLD))
}

/// Returns true if a request would make answers late at an engine, and may be held for it.
///
/// A request is not held for an engine whose load is unknown: without a holder, none would be sent in time.
fn makes_answers_late(
    chosen: &EngineCandidate,
    context: &ChoiceContext,
) -> bool {
    context.may_hold && !chosen.load_unknown && late_answers(chosen, context) > MAX_LATE_ANSWERS
}

/// Returns true if a held request may be sent to an engine as soon as that is idle.
fn is_usable(candidate: &EngineCandidate) -> bool {
    candidate.copy_state == AdapterCopyState::Ready
        && candidate.availability == Availability::Open
        && !candidate.tried
        && !candidate.avoided
        && !candidate.load_unknown
}

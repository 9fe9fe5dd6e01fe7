//! Which engines a request may go to, and what their holders are asked right before it is sent.

use {
    super::tries::{QueryRound, Tries},
    crate::{
        clock::Instant,
        connection::{datagram::EngineQuery, targets::TargetTable},
        request::{
            direct::{CallRequest, CopyState},
            notices::Openness,
        },
    },
    rand::seq::IndexedRandom,
    std::{sync::Arc, time::Duration},
};

/// Wait for what holders tell of their engines.
const QUERY_WAIT: Duration = Duration::from_millis(20);

/// What a holder told of its engine counts for so long.
const QUERY_FRESH: Duration = Duration::from_millis(60);

/// Engines that are ready for a request whose holders are asked, at the most.
const QUERIED_READY: usize = 6;

/// Engines that are not ready for it whose holders are asked, at the most.
const QUERIED_OTHERS: usize = 4;

/// Engines on which an adapter may settle, besides those that hold it.
const SETTLING_PLACES: usize = 8;

/// The engines that a request for the base model alone may go to: a sample of a large site's.
pub(super) fn sample_of_service(
    board: &TargetTable,
    request: &CallRequest,
    now: Instant,
) -> Vec<Arc<str>> {
    let engines = board.engines_of(&request.service.name);
    if !board.is_large_site() {
        return engines;
    }
    let is_closed = |engine: &Arc<str>| board.availability(engine, now) == Openness::Closed;
    let engines = without_closed(engines, is_closed);
    engines
        .sample(&mut rand::rng(), QUERIED_READY)
        .cloned()
        .collect()
}

/// The engines that a request for an adapter may go to, in the order in which it settles: on a large
/// site a sample of those that hold it, those to which it comes, and a few where it may come next.
pub(super) fn sample_for_adapter(
    board: &TargetTable,
    request: &CallRequest,
    adapter: &str,
    now: Instant,
) -> Vec<Arc<str>> {
    let service = &request.service.name;
    if !board.is_large_site() {
        return board.placement_order(service, adapter, SETTLING_PLACES, now);
    }
    let places = SETTLING_PLACES + board.adapters.known_engines(adapter);
    let order = board.placement_order(service, adapter, places, now);
    let copy = |at: &usize| board.adapters.get(adapter, &order[*at]);
    let state = |at: &usize| copy(at).map(|copy| copy.state);
    let is_held = |at: &usize| copy(at).is_some_and(|copy| copy.held().is_some());
    let (ready, others): (Vec<usize>, Vec<usize>) = (0..order.len()).partition(is_held);
    let (coming, mut open): (Vec<usize>, Vec<usize>) = others
        .into_iter()
        .partition(|at| state(at).is_some_and(is_coming));
    open.retain(|at| !state(at).is_some_and(|state| is_full(state, now)));
    // Where it was lately it comes back much faster.
    open.sort_by_key(|at| state(at) != Some(CopyState::Remembered));
    open.truncate(QUERIED_OTHERS);
    let is_closed = |engine: &Arc<str>| board.availability(engine, now) == Openness::Closed;
    let ready = without_closed(ready, |at| is_closed(&order[*at]));
    let ready = ready.sample(&mut rand::rng(), QUERIED_READY).copied();
    let mut chosen: Vec<usize> = ready.chain(coming).chain(open).collect();
    chosen.sort_unstable();
    chosen.into_iter().map(|at| order[at].clone()).collect()
}

/// The engines among which is chosen. On a large site their holders are asked first how they stand,
/// since what was last heard is too old; `Err` gives the time until which their answers are awaited.
pub(super) fn look_before_send(
    board: &TargetTable,
    request: &CallRequest,
    tries: &mut Tries,
    draw: impl Fn(&TargetTable) -> Vec<Arc<str>>,
    now: Instant,
) -> Result<Vec<Arc<str>>, Instant> {
    if !board.is_large_site() {
        return Ok(draw(board));
    }
    if let Some(round) = &tries.query
        && now.saturating_duration_since(round.since) < QUERY_FRESH
    {
        let present = |target: &&Arc<str>| board.links.contains_key(*target);
        let targets: Vec<Arc<str>> = round.targets.iter().filter(present).cloned().collect();
        let told = |target: &Arc<str>| board.links[target].has_report_since(round.since);
        let until = round.since + QUERY_WAIT;
        return match now >= until || targets.iter().all(told) {
            true => Ok(targets),
            false => Err(until),
        };
    }
    let targets = draw(board);
    if !query_all(board, request, &targets) {
        return Ok(targets);
    }
    tries.query = Some(QueryRound {
        targets,
        since: now,
    });
    Err(now + QUERY_WAIT)
}

/// Asks the holders of these engines how they stand; false if there is none to ask.
fn query_all(
    board: &TargetTable,
    request: &CallRequest,
    targets: &[Arc<str>],
) -> bool {
    let generation = request.generation.as_ref();
    let adapter = generation.and_then(|generation| generation.adapter());
    let is_ready = |target: &Arc<str>| match adapter {
        Some(adapter) => {
            let copy = board.adapters.get(adapter, target);
            copy.is_some_and(|copy| copy.held().is_some())
        }
        None => true,
    };
    let ready = targets.iter().filter(|target| is_ready(target)).count();
    let tokens = generation.map_or((0, 0), |generation| {
        (generation.tokens_in, generation.tokens_out)
    });
    let mut asked = 0;
    for target in targets {
        let chance = match is_ready(target) {
            true => 100 / ready.max(1) as u32,
            false => 0,
        };
        asked += u32::from(board.query(EngineQuery {
            target: target.to_string(),
            adapter: adapter.unwrap_or_default().to_string(),
            chance,
            tokens: tokens.0.saturating_add(tokens.1),
            prompt_tokens: tokens.0,
        }));
    }
    asked > 0
}

/// Leaves out engines that take no request now, unless all do: a sample of closed ones would have a request refused that others
/// would take.
fn without_closed<T>(
    engines: Vec<T>,
    is_closed: impl Fn(&T) -> bool,
) -> Vec<T> {
    match engines.iter().all(&is_closed) {
        true => engines,
        false => engines.into_iter().filter(|at| !is_closed(at)).collect(),
    }
}

fn is_full(
    copy: CopyState,
    now: Instant,
) -> bool {
    matches!(copy, CopyState::Full { until } if until > now)
}

pub(super) fn is_coming(copy: CopyState) -> bool {
    matches!(copy, CopyState::Coming { .. } | CopyState::Asked)
}

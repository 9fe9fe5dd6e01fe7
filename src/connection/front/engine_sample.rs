//! Samples the engines that a request may go to, and queries their holders right before it is sent.

use {
    super::attempts::{Attempts, QueryRound},
    crate::{
        clock::Instant,
        connection::{
            datagram::{EngineQuery, PromptSegment},
            targets::{ServiceEngines, TargetTable},
        },
        request::{
            direct::{AdapterCopyState, CallRequest, PromptChain, first_by_prompt},
            notices::Availability,
            origins::RequiredSoftware,
        },
    },
    rand::seq::IndexedRandom,
    std::{sync::Arc, time::Duration},
};

const QUERY_TIMEOUT: Duration = Duration::from_millis(20);

/// Validity of a holder's report on its engine.
const QUERY_TTL: Duration = Duration::from_millis(60);

/// Maximum number of engines that are ready for the request and drawn at random for a sample.
const MAX_READY: usize = 6;

/// Maximum number of ready engines in a sample that rank first for the prompt's leading parts, besides those drawn at
/// random. Two, so that a busy engine has an alternative that
/// has read the same parts.
const MAX_BY_PROMPT: usize = 2;

/// Maximum number of engines in a sample that neither hold nor load the adapter.
const MAX_OTHERS: usize = 4;

/// Number of engines that an adapter may be loaded at, besides those that hold it.
const PLACEMENT_CANDIDATES: usize = 8;

/// Returns the engines that a request without an adapter may go to; a sample of them on a large site.
pub(super) fn sample_of_service(
    table: &TargetTable,
    request: &CallRequest,
    software: RequiredSoftware,
    now: Instant,
) -> Vec<Arc<str>> {
    let mut engines = table.engines_of(&request.service.name);
    engines.retain(|engine| table.runs_software(engine, software));
    if !table.is_large_site() {
        return engines;
    }
    let is_closed = |engine: &Arc<str>| table.availability(engine, now) == Availability::Closed;
    let engines = without_closed(engines, is_closed);
    let prompt = table.prompt_chain(request.generation.as_ref());
    let chosen = draw_ready(engines.len(), |at| &engines[at], prompt.as_ref());
    chosen.into_iter().map(|at| engines[at].clone()).collect()
}

/// Returns the engines that a request for an adapter may go to, in the adapter's order of preference.
///
/// On a large site these are a sample of the engines that hold it, those that load it, and a few that may load it next.
pub(super) fn sample_for_adapter(
    table: &TargetTable,
    request: &CallRequest,
    adapter: &str,
    software: RequiredSoftware,
    now: Instant,
) -> Vec<Arc<str>> {
    let engines = ServiceEngines {
        service: &request.service.name,
        software,
    };
    if !table.is_large_site() {
        return table.placement_order(engines, adapter, PLACEMENT_CANDIDATES, now);
    }
    let count = PLACEMENT_CANDIDATES + table.adapters.known_engines(adapter);
    let order = table.placement_order(engines, adapter, count, now);
    let copy = |at: &usize| table.adapters.get(adapter, &order[*at]);
    let state = |at: &usize| copy(at).map(|copy| copy.state);
    let is_held = |at: &usize| copy(at).is_some_and(|copy| copy.held().is_some());
    let (ready, others): (Vec<usize>, Vec<usize>) = (0..order.len()).partition(is_held);
    let (pending, mut unloaded): (Vec<usize>, Vec<usize>) = others
        .into_iter()
        .partition(|at| state(at).is_some_and(is_pending));
    unloaded.retain(|at| !state(at).is_some_and(|state| is_full(state, now)));
    // An engine that held the adapter lately loads it much faster.
    unloaded.sort_by_key(|at| state(at) != Some(AdapterCopyState::Cached));
    unloaded.truncate(MAX_OTHERS);
    let is_closed = |engine: &Arc<str>| table.availability(engine, now) == Availability::Closed;
    let ready = without_closed(ready, |at| is_closed(&order[*at]));
    let prompt = table.prompt_chain(request.generation.as_ref());
    let drawn = draw_ready(ready.len(), |at| &order[ready[at]], prompt.as_ref());
    let drawn = drawn.into_iter().map(|at| ready[at]);
    let mut chosen: Vec<usize> = drawn.chain(pending).chain(unloaded).collect();
    let can_serve = |at: &usize| is_held(at) || has_holder(table, &order[*at]);
    if table.bounds_waits() && !chosen.iter().any(can_serve) {
        return sample_with_holder(table, engines, adapter, now);
    }
    chosen.sort_unstable();
    chosen.into_iter().map(|at| order[at].clone()).collect()
}

/// Returns the first engines in an adapter's order of preference that have a known holder, and that are not known to be
/// full for the adapter.
///
/// Addresses a cut between hosts, or a restart of many: then the holders of all preferred engines may be unknown.
fn sample_with_holder(
    table: &TargetTable,
    engines: ServiceEngines,
    adapter: &str,
    now: Instant,
) -> Vec<Arc<str>> {
    let order = table.placement_order(engines, adapter, usize::MAX, now);
    let can_load = |engine: &Arc<str>| {
        let copy = table.adapters.get(adapter, engine);
        has_holder(table, engine) && !copy.is_some_and(|copy| is_full(copy.state, now))
    };
    order
        .into_iter()
        .filter(can_load)
        .take(MAX_OTHERS)
        .collect()
}

fn has_holder(
    table: &TargetTable,
    engine: &str,
) -> bool {
    table.links[engine].view.holder.is_some()
}

/// Returns the indices of ready engines for a sample, out of `count`: those that rank first for the prompt, and up to
/// `MAX_READY` others at random. The first ones are often busy with the same prompts, so that a request needs as many
/// others to choose from as without them.
fn draw_ready<'a>(
    count: usize,
    engine: impl Fn(usize) -> &'a Arc<str>,
    prompt: Option<&PromptChain>,
) -> Vec<usize> {
    let ids = (0..count).map(|at| &**engine(at));
    let mut drawn = prompt.map_or(Vec::new(), |prompt| {
        first_by_prompt(prompt.leading_id(), ids, MAX_BY_PROMPT)
    });
    let others: Vec<usize> = (0..count).filter(|at| !drawn.contains(at)).collect();
    let others = others.sample(&mut rand::rng(), MAX_READY);
    drawn.extend(others);
    drawn
}

/// Returns the engines to choose from.
///
/// On a large site their holders are queried first, since earlier reports are too stale; `Err` holds the time until
/// which to wait for their reports.
pub(super) fn query_before_send(
    table: &TargetTable,
    request: &CallRequest,
    attempts: &mut Attempts,
    draw: impl Fn(&TargetTable) -> Vec<Arc<str>>,
    now: Instant,
) -> Result<Vec<Arc<str>>, Instant> {
    if !table.is_large_site() {
        return Ok(draw(table));
    }
    if let Some(round) = &attempts.query
        && now.saturating_duration_since(round.since) < QUERY_TTL
    {
        let present = |target: &&Arc<str>| table.links.contains_key(*target);
        let targets: Vec<Arc<str>> = round.targets.iter().filter(present).cloned().collect();
        let has_reported = |target: &Arc<str>| table.links[target].has_report_since(round.since);
        let until = round.since + QUERY_TIMEOUT;
        return match now >= until || targets.iter().all(has_reported) {
            true => Ok(targets),
            false => Err(until),
        };
    }
    let targets = draw(table);
    let prompt = table.prompt_chain(request.generation.as_ref());
    if !query_all(table, request, &targets, prompt.as_ref()) {
        return Ok(targets);
    }
    attempts.query = Some(QueryRound {
        first_by_prompt: ranked_first(table, request, &targets, prompt.as_ref()),
        targets,
        since: now,
        prompt,
    });
    Err(now + QUERY_TIMEOUT)
}

/// Queries the holders of engines for their status; returns false if none of the engines has a holder.
fn query_all(
    table: &TargetTable,
    request: &CallRequest,
    targets: &[Arc<str>],
    prompt: Option<&PromptChain>,
) -> bool {
    let generation = request.generation.as_ref();
    let adapter = generation.and_then(|generation| generation.adapter());
    let is_ready = |target: &Arc<str>| is_ready(table, request, target);
    let ready = targets.iter().filter(|target| is_ready(target)).count();
    let tokens = generation.map_or((0, 0), |generation| {
        (generation.tokens_in, generation.tokens_out)
    });
    let mut queried = 0;
    for target in targets {
        let chance = match is_ready(target) {
            true => 100 / ready.max(1) as u32,
            false => 0,
        };
        queried += u32::from(table.query(EngineQuery {
            target: target.to_string(),
            adapter: adapter.unwrap_or_default().to_string(),
            chance,
            tokens: tokens.0.saturating_add(tokens.1),
            prompt_tokens: tokens.0,
            segments: queried_segments(prompt, is_ready(target)),
        }));
    }
    queried > 0
}

/// Returns true if an engine is known to hold what the request needs.
fn is_ready(
    table: &TargetTable,
    request: &CallRequest,
    target: &str,
) -> bool {
    let generation = request.generation.as_ref();
    let Some(adapter) = generation.and_then(|generation| generation.adapter()) else {
        return true;
    };
    let copy = table.adapters.get(adapter, target);
    copy.is_some_and(|copy| copy.held().is_some())
}

/// Returns the engines of a sample that rank first for the prompt's leading parts. They rank first among all ready
/// engines too, since `draw_ready` puts the first ones into each sample.
fn ranked_first(
    table: &TargetTable,
    request: &CallRequest,
    targets: &[Arc<str>],
    prompt: Option<&PromptChain>,
) -> Vec<Arc<str>> {
    let Some(prompt) = prompt else {
        return Vec::new();
    };
    let ready = targets.iter().filter(|at| is_ready(table, request, at));
    let ready: Vec<&Arc<str>> = ready.collect();
    let ids = ready.iter().map(|target| &***target);
    let first = first_by_prompt(prompt.leading_id(), ids, MAX_BY_PROMPT);
    first.into_iter().map(|at| ready[at].clone()).collect()
}

/// Returns the segments that an engine's holder is asked about. An engine without the adapter keeps nothing of its
/// prompts.
fn queried_segments(
    prompt: Option<&PromptChain>,
    is_ready: bool,
) -> Vec<PromptSegment> {
    let prompt = prompt.filter(|_| is_ready);
    prompt.map_or(Vec::new(), |prompt| prompt.segments().to_vec())
}

/// Removes closed engines unless all are closed: a sample of closed engines would get a request rejected that others
/// could take.
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
    copy: AdapterCopyState,
    now: Instant,
) -> bool {
    matches!(copy, AdapterCopyState::Full { until } if until > now)
}

pub(super) fn is_pending(copy: AdapterCopyState) -> bool {
    matches!(
        copy,
        AdapterCopyState::Loading { .. } | AdapterCopyState::Requested
    )
}

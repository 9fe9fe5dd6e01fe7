//! Routing decisions for a request that a host sends directly to its target.

use {
    coveproxy::{
        clock::Instant,
        connection::targets::PrefillThroughput,
        request::{
            direct::{
                AdapterCopyState, AttemptEnd, ChoiceContext, DEFAULT_LOAD_TIME, EngineCandidate,
                EngineChoice, Generation, NextStep, PlainCandidate, Policy, PromptPart,
                RequestHistory, RequestTiming, WaitDecision, choose_engine, choose_plain,
                next_step, wait_or_reject,
            },
            notices::Availability,
            pace::Reading,
        },
        version::routing::{
            BaseModel, EngineSpec, FrontLimits, Route, RouteKind, RoutingTable, TargetService,
            WeightedService,
        },
    },
    rstest::rstest,
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(
    kind: RouteKind,
    resumable: bool,
    max_attempts: u32,
) -> Route {
    Route {
        name: "r".to_string(),
        host: "h.example".to_string(),
        path_prefix: "/a/".to_string(),
        kind,
        timeout: ms(15_000),
        aim: ms(800),
        gap_aim: ms(250),
        priority: 1,
        services: vec![weighted("s", 1)],
        max_attempts,
        resumable,
        public: false,
    }
}

fn weighted(
    service: &str,
    weight: u32,
) -> WeightedService {
    WeightedService {
        service: service.to_string(),
        weight,
    }
}

const NOT_RUN: AttemptEnd = AttemptEnd::NotRun { status: 503 };
const FAILED: AttemptEnd = AttemptEnd::Failed { status: 500 };
const FIRST: NextStep = NextStep::Resend { repeats: false };
const AGAIN: NextStep = NextStep::Resend { repeats: true };

/// Guards against resending a request whose route does not allow it to run twice.
#[rstest]
#[case::never_left(RouteKind::Unsafe, false, 1, AttemptEnd::NotSent, true, FIRST)]
#[case::turned_away(RouteKind::Unsafe, false, 1, NOT_RUN, true, AGAIN)]
#[case::turned_away_without_budget(RouteKind::Unsafe, false, 1, NOT_RUN, false, NextStep::Reject)]
#[case::unsafe_lost(
    RouteKind::Unsafe,
    false,
    3,
    AttemptEnd::Lost,
    true,
    NextStep::OutcomeUnknown
)]
#[case::unsafe_failed(RouteKind::Unsafe, false, 3, FAILED, true, NextStep::ForwardFailure)]
#[case::safe_lost(RouteKind::Safe, false, 2, AttemptEnd::Lost, true, AGAIN)]
#[case::safe_lost_at_its_last(
    RouteKind::Safe,
    false,
    1,
    AttemptEnd::Lost,
    true,
    NextStep::OutcomeUnknown
)]
#[case::safe_lost_without_budget(
    RouteKind::Safe,
    false,
    2,
    AttemptEnd::Lost,
    false,
    NextStep::OutcomeUnknown
)]
#[case::safe_failed(RouteKind::Safe, false, 2, FAILED, true, AGAIN)]
#[case::safe_failed_without_budget(
    RouteKind::Safe,
    false,
    2,
    FAILED,
    false,
    NextStep::ForwardFailure
)]
#[case::stream_lost(
    RouteKind::Stream,
    false,
    2,
    AttemptEnd::Lost,
    true,
    NextStep::OutcomeUnknown
)]
#[case::resumable_lost(RouteKind::Stream, true, 2, AttemptEnd::Lost, true, AGAIN)]
fn what_follows_the_first_send(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] max_attempts: u32,
    #[case] end: AttemptEnd,
    #[case] budget_left: bool,
    #[case] expected: NextStep,
) {
    let mut history = RequestHistory::default();
    history.record(end);
    let route = route(kind, resumable, max_attempts);
    assert_eq!(next_step(&route, &history, end, budget_left), expected);
}

#[test]
fn a_request_that_may_have_run_is_never_called_not_run() {
    let route = route(RouteKind::Safe, false, 2);
    let mut history = RequestHistory::default();
    history.record(AttemptEnd::Lost);
    history.record(NOT_RUN);
    for budget_left in [true, false] {
        let step = next_step(&route, &history, NOT_RUN, budget_left);
        assert_ne!(step, NextStep::Reject);
    }
}

#[test]
fn a_request_is_not_sent_round_and_round() {
    let route = route(RouteKind::Unsafe, false, 1);
    let mut history = RequestHistory::default();
    let mut sends = 0;
    loop {
        history.record(NOT_RUN);
        sends += 1;
        if next_step(&route, &history, NOT_RUN, true) == NextStep::Reject {
            break;
        }
        assert!(sends < 20);
    }
    assert_eq!(sends, 8);
}

fn plain(
    in_flight: u32,
    same_hall: bool,
) -> PlainCandidate {
    PlainCandidate {
        in_flight,
        slots: 6,
        same_hall,
        avoided_for: Duration::ZERO,
        tried: false,
        excluded: false,
        availability: Availability::Open,
    }
}

#[rstest]
#[case::least_busy(vec![plain(3, true), plain(0, true), plain(2, true)], Some(1))]
#[case::near_if_as_busy(vec![plain(1, false), plain(1, true)], Some(1))]
#[case::far_if_near_is_busy(vec![plain(0, false), plain(4, true)], Some(0))]
#[case::not_one_that_failed(
    vec![PlainCandidate { avoided_for: ms(100), ..plain(0, true) }, plain(5, false)], Some(1))]
#[case::not_where_it_was(vec![PlainCandidate { tried: true, ..plain(0, true) }, plain(5, true)], Some(1))]
#[case::a_failed_one_if_there_is_no_other(
    vec![PlainCandidate { avoided_for: ms(100), ..plain(0, true) }], Some(0))]
#[case::a_limited_one_only_if_there_is_no_other(
    vec![PlainCandidate { availability: Availability::Limited, ..plain(0, true) }, plain(5, false)], Some(1))]
#[case::a_limited_one_if_the_others_are_closed(
    vec![PlainCandidate { availability: Availability::Closed, ..plain(0, true) },
         PlainCandidate { availability: Availability::Limited, ..plain(5, false) }], Some(1))]
#[case::an_excluded_one_never(
    vec![PlainCandidate { excluded: true, ..plain(0, true) },
         PlainCandidate { availability: Availability::Closed, ..plain(5, false) }], None)]
#[case::all_closed(vec![PlainCandidate { availability: Availability::Closed, ..plain(0, true) }], None)]
#[case::none(vec![], None)]
fn the_plain_target_with_most_room_is_chosen(
    #[case] candidates: Vec<PlainCandidate>,
    #[case] expected: Option<usize>,
) {
    for draw in [0.0, 0.3, 0.7, 0.999] {
        assert_eq!(choose_plain(&candidates, draw), expected);
    }
}

fn engine(
    copy_state: AdapterCopyState,
    wait_ms: u64,
) -> EngineCandidate {
    EngineCandidate {
        load_time: DEFAULT_LOAD_TIME,
        copy_state,
        time_to_first_event: ms(wait_ms),
        reading: Reading::default(),
        streams: 0,
        memory_share: 0.3,
        batch_share: 0.3,
        relative_load: 1.0,
        same_hall: true,
        load_unknown: false,
        avoided: false,
        has_holder: true,
        tried: false,
        availability: Availability::Open,
        prompt_affinity: Duration::ZERO,
    }
}

fn terms(
    price_ms: u64,
    now: Instant,
) -> ChoiceContext {
    ChoiceContext {
        copy_price: ms(price_ms),
        time_to_goal: ms(800),
        allowed_pause: None,
        may_hold: false,
        priority: 2,
        policy: Policy::default(),
        now,
    }
}

fn send(to: usize) -> EngineChoice {
    EngineChoice::Send {
        to,
        also_load: None,
    }
}

#[rstest]
#[case::nearest_end(vec![(AdapterCopyState::Ready, 300), (AdapterCopyState::Ready, 80)], send(1))]
#[case::the_copy_rather_than_a_load(vec![(AdapterCopyState::Unknown, 50), (AdapterCopyState::Ready, 200)], send(1))]
#[case::a_load_if_there_is_no_copy(vec![(AdapterCopyState::Unknown, 50), (AdapterCopyState::Unknown, 50)], EngineChoice::RequestLoad(0))]
#[case::home_though_others_are_idler(vec![(AdapterCopyState::Unknown, 200), (AdapterCopyState::Unknown, 0)], EngineChoice::RequestLoad(0))]
#[case::away_if_home_is_drowned(vec![(AdapterCopyState::Unknown, 3_000), (AdapterCopyState::Unknown, 0)], EngineChoice::RequestLoad(1))]
#[case::busy_copy_and_another_one(
    vec![(AdapterCopyState::Ready, 420), (AdapterCopyState::Unknown, 20)], EngineChoice::Send { to: 0, also_load: Some(1) })]
#[case::wait_if_the_copy_is_hopeless(vec![(AdapterCopyState::Ready, 6_000), (AdapterCopyState::Unknown, 20)], EngineChoice::RequestLoad(1))]
fn engines_are_chosen_by_expected_time(
    #[case] candidates: Vec<(AdapterCopyState, u64)>,
    #[case] expected: EngineChoice,
) {
    let now = Instant::now();
    let candidates: Vec<EngineCandidate> = candidates
        .into_iter()
        .map(|(copy_state, wait)| engine(copy_state, wait))
        .collect();
    // The copy cost of a popular adapter is low.
    let price = match expected {
        EngineChoice::Send {
            also_load: Some(_), ..
        } => 5,
        _ => 300,
    };
    assert_eq!(choose_engine(&candidates, &terms(price, now)), expected);
}

#[test]
fn a_rare_adapter_gets_no_second_copy_for_a_little_haste() {
    let now = Instant::now();
    let candidates = [
        engine(AdapterCopyState::Ready, 420),
        engine(AdapterCopyState::Unknown, 20),
    ];
    assert_eq!(choose_engine(&candidates, &terms(300, now)), send(0));
}

#[test]
fn what_is_on_its_way_is_asked_for_nowhere_else() {
    let now = Instant::now();
    let due = now + ms(1_100);
    let candidates = [
        engine(AdapterCopyState::Loading { due }, 20),
        engine(AdapterCopyState::Unknown, 20),
        engine(AdapterCopyState::Unknown, 20),
    ];
    let choice = choose_engine(&candidates, &terms(300, now));
    assert!(matches!(choice, EngineChoice::Wait { until, .. } if until > due));
}

#[test]
fn a_full_engine_is_asked_again_only_later() {
    let now = Instant::now();
    let full = AdapterCopyState::Full {
        until: now + ms(400),
    };
    let candidates = [engine(full, 20), engine(AdapterCopyState::Unknown, 20)];
    assert_eq!(
        choose_engine(&candidates, &terms(300, now)),
        EngineChoice::RequestLoad(1)
    );
    let alone = [engine(full, 20)];
    assert_eq!(
        choose_engine(&alone, &terms(300, now)),
        EngineChoice::NoEngine
    );
    let later = terms(300, now + ms(401));
    assert_eq!(choose_engine(&alone, &later), EngineChoice::RequestLoad(0));
}

#[rstest]
#[case::avoided(EngineCandidate { avoided: true, ..engine(AdapterCopyState::Ready, 0) })]
#[case::turned_away_there(EngineCandidate { tried: true, ..engine(AdapterCopyState::Ready, 0) })]
#[case::closed(EngineCandidate { availability: Availability::Closed, ..engine(AdapterCopyState::Ready, 0) })]
#[case::no_holder_and_no_copy(EngineCandidate { has_holder: false, ..engine(AdapterCopyState::Unknown, 0) })]
fn engines_that_can_not_serve_are_left_out(#[case] candidate: EngineCandidate) {
    let now = Instant::now();
    assert_eq!(
        choose_engine(&[candidate], &terms(0, now)),
        EngineChoice::NoEngine
    );
}

#[test]
fn an_engine_short_of_memory_is_used_last() {
    let now = Instant::now();
    let pressed = EngineCandidate {
        memory_share: 0.99,
        ..engine(AdapterCopyState::Ready, 0)
    };
    let candidates = [pressed, engine(AdapterCopyState::Ready, 400)];
    assert_eq!(choose_engine(&candidates, &terms(300, now)), send(1));
}

#[test]
fn a_crowded_engine_gives_popular_adapters_away() {
    let now = Instant::now();
    let crowded = EngineCandidate {
        relative_load: 2.5,
        ..engine(AdapterCopyState::Ready, 60)
    };
    let candidates = [crowded, engine(AdapterCopyState::Ready, 100)];
    assert_eq!(choose_engine(&candidates, &terms(5, now)), send(1));
    let candidates = [crowded, engine(AdapterCopyState::Unknown, 20)];
    let choice = choose_engine(&candidates, &terms(5, now));
    assert_eq!(
        choice,
        EngineChoice::Send {
            to: 0,
            also_load: Some(1)
        }
    );
    assert_eq!(choose_engine(&candidates, &terms(300, now)), send(0));
}

#[rstest]
#[case::in_time(0, 300, WaitDecision::Wait)]
#[case::late_and_prompt(10, 1_000, WaitDecision::Reject { retry_after: ms(1_040) })]
#[case::late_but_no_longer_prompt(200, 1_000, WaitDecision::Wait)]
#[case::later_than_callers_come_back(10, 6_000, WaitDecision::Wait)]
fn who_would_be_late_is_told_at_once(
    #[case] elapsed: u64,
    #[case] expected: u64,
    #[case] patience: WaitDecision,
) {
    let time = RequestTiming {
        elapsed: ms(elapsed),
        aim: ms(800),
        time_left: ms(15_000),
    };
    assert_eq!(wait_or_reject(&time, ms(expected)), patience);
}

#[test]
fn a_generation_is_understood() {
    let mut generation = Generation {
        model: "m0/a17".to_string(),
        ..Generation::default()
    };
    generation.set_token_counts("1460,80");
    generation.set_parts("5c1e07a2:800,nonsense,91bd3f06:410");
    assert_eq!((generation.tokens_in, generation.tokens_out), (1460, 80));
    assert_eq!(generation.base_model(), "m0");
    assert_eq!(generation.adapter(), Some("m0/a17"));
    let part = |id, tokens| PromptPart { id, tokens };
    assert_eq!(
        generation.parts,
        [part(0x5c1e_07a2, 800), part(0x91bd_3f06, 410)]
    );
    let base = Generation {
        model: "m0".to_string(),
        ..Generation::default()
    };
    assert_eq!(base.adapter(), None);
}

fn table() -> RoutingTable {
    let with_prefix = |name: &str, prefix: &str| Route {
        name: name.to_string(),
        path_prefix: prefix.to_string(),
        ..route(RouteKind::Safe, false, 1)
    };
    let routes = vec![with_prefix("short", "/a/"), with_prefix("long", "/a/b/")];
    let service = TargetService {
        name: "s".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        engine: None,
    };
    RoutingTable::new(3, FrontLimits::default(), vec![service], routes)
}

#[rstest]
#[case("h.example", "/a/x", Some("short"))]
#[case("h.example", "/a/b/x", Some("long"))]
#[case("H.Example", "/a/b/x", Some("long"))]
#[case("h.example", "/a", None)]
#[case("h.example", "/ab/", None)]
#[case("other.example", "/a/x", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn a_split_route_shares_its_requests_by_weight() {
    let split = Route {
        services: vec![
            weighted("old", 90),
            weighted("new", 10),
            weighted("none", 0),
        ],
        ..route(RouteKind::Safe, false, 1)
    };
    let mut counts = [0; 3];
    for draw in 0..1000 {
        match split.service(f64::from(draw) / 1000.0).unwrap() {
            "old" => counts[0] += 1,
            "new" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert_eq!(counts, [900, 100, 0]);
}

#[rstest]
#[case::places(44_000.0, 42_700.0, 66.0, 10, 10)]
#[case::memory(43_000.0, 42_700.0, 66.0, 10, 4)]
#[case::too_large(40_000.0, 42_700.0, 66.0, 10, 0)]
fn adapters_that_fit_beside_a_base_model(
    #[case] memory: f64,
    #[case] weights: f64,
    #[case] adapter: f64,
    #[case] slots: usize,
    #[case] room: usize,
) {
    let model = BaseModel {
        name: "m".to_string(),
        weights_mb: weights,
        adapter_mb: adapter,
        load_time: ms(600),
    };
    let spec = EngineSpec {
        models: vec![model.clone()],
        slots: 12,
        memory_tokens: 58_000,
        weights_mb: memory,
        adapter_slots: slots,
        loads_per_second: 3.0,
    };
    assert_eq!(spec.adapter_room(&model), room);
}

/// A request is more likely to arrive during a long prefill than during a short one.
#[test]
fn the_prompt_in_reading_is_larger_than_the_mean() {
    let mut speed = PrefillThroughput::default();
    assert_eq!(speed.mean_prompt_in_prefill(), u64::MAX);
    for _ in 0..500 {
        speed.on_prompt(1_000);
        speed.on_prompt(9_000);
    }
    let tokens = speed.mean_prompt_in_prefill();
    assert!((7_700..8_700).contains(&tokens), "{tokens}");
}

/// Guards against further copies of an adapter that is rarely used.
#[rstest]
#[case::rare(300, EngineChoice::Send { to: 0, also_load: None })]
#[case::often(15, EngineChoice::Send { to: 0, also_load: Some(1) })]
fn a_busy_copy_calls_for_another_by_use(
    #[case] price_ms: u64,
    #[case] expected: EngineChoice,
) {
    let now = Instant::now();
    let busy = engine(AdapterCopyState::Ready, 470);
    let free = engine(AdapterCopyState::Unknown, 10);
    assert_eq!(
        choose_engine(&[busy, free], &terms(price_ms, now)),
        expected
    );
}

#[test]
fn a_policy_without_further_copies_asks_for_none() {
    let now = Instant::now();
    let busy = engine(AdapterCopyState::Ready, 470);
    let free = engine(AdapterCopyState::Unknown, 10);
    let mut terms = terms(15, now);
    terms.policy.adds_copies = false;
    let choice = choose_engine(&[busy, free], &terms);
    assert_eq!(
        choice,
        EngineChoice::Send {
            to: 0,
            also_load: None
        }
    );
}

/// While the weight store is busy, a load on another engine takes longer than waiting for a busy one.
#[rstest]
#[case::usual(270, EngineChoice::RequestLoad(1))]
#[case::the_store_is_busy(900, send(0))]
fn a_copy_elsewhere_is_weighed_with_the_time_that_loads_take(
    #[case] load_ms: u64,
    #[case] expected: EngineChoice,
) {
    let candidates = [
        engine(AdapterCopyState::Ready, 600),
        EngineCandidate {
            load_time: ms(load_ms),
            ..engine(AdapterCopyState::Unknown, 20)
        },
    ];
    assert_eq!(
        choose_engine(&candidates, &terms(0, Instant::now())),
        expected
    );
}

fn limited(
    copy_state: AdapterCopyState,
    wait_ms: u64,
) -> EngineCandidate {
    EngineCandidate {
        availability: Availability::Limited,
        ..engine(copy_state, wait_ms)
    }
}

/// An engine of limited availability gets only requests that would otherwise wait or be rejected, and loads an adapter only if
/// no other engine can.
#[rstest]
#[case::another_copy_serves(vec![limited(AdapterCopyState::Ready, 0), engine(AdapterCopyState::Ready, 80)], send(1))]
#[case::its_copy_is_the_only_one(vec![limited(AdapterCopyState::Ready, 0), engine(AdapterCopyState::Unknown, 0)], send(0))]
#[case::another_loads(vec![limited(AdapterCopyState::Unknown, 0), engine(AdapterCopyState::Unknown, 50)], EngineChoice::RequestLoad(1))]
#[case::nobody_else_can(vec![limited(AdapterCopyState::Unknown, 0)], EngineChoice::RequestLoad(0))]
fn a_limited_engine_is_used_for_what_only_it_serves_well(
    #[case] candidates: Vec<EngineCandidate>,
    #[case] expected: EngineChoice,
) {
    let terms = terms(0, Instant::now());
    assert_eq!(choose_engine(&candidates, &terms), expected);
}

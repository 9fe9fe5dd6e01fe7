//! Prompt parts that engines keep: chains, the holder's estimate, reports and answers between hosts, the rank of
//! engines for a prompt, and the benefit under a small load.

use {
    coveproxy::{
        clock::Instant,
        connection::{
            datagram::{EngineLoad, EngineQuery, EngineStanding, PromptSegment, SentPrompt, Usage},
            targets::{
                CachedPrompts, ControlRequest, FleetView, MAX_REPORTED_PROMPTS, RequestTokens,
                SentPrompts, StalenessBounds, TargetTable, TargetTableSettings, TargetView,
            },
        },
        formats::{
            HeldAdapter, HeldModel, OrderKind, OrderReply, SoftwareVersion, TargetRecord,
            TargetReport, TargetStart, TargetState,
        },
        process::engines::{AllocatorAction, EngineAllocator, PromptCache, SharedAllocatorState},
        request::{
            direct::{
                AdapterCopyState, ChoiceContext, DEFAULT_LOAD_TIME, EngineCandidate, EngineChoice,
                Generation, Policy, PromptChain, PromptPart, choose_engine, first_by_prompt,
                prompt_affinity,
            },
            notices::Availability,
            pace::Reading,
        },
        version::routing::{BaseModel, EngineSpec},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    rstest::rstest,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

const ENGINE: &str = "engine-1";
const ADAPTER: &str = "m0/a1";

/// Hosts of a site on which holders are queried.
const MANY_HOSTS: usize = 75;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

/// Returns a request for a model or adapter with these prompt parts (id and tokens).
fn generation(
    model: &str,
    parts: &[(u64, u32)],
) -> Generation {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: *id,
        tokens: *tokens,
    });
    let parts: Vec<PromptPart> = parts.collect();
    Generation {
        model: model.to_string(),
        tokens_in: parts.iter().map(|part| part.tokens).sum(),
        tokens_out: 100,
        length_hint: None,
        parts,
    }
}

fn chain(
    model: &str,
    parts: &[(u64, u32)],
) -> PromptChain {
    PromptChain::of(&generation(model, parts)).unwrap()
}

fn prompt(parts: &[(u64, u32)]) -> SentPrompt {
    chain(ADAPTER, parts).sent()
}

fn cached(
    cache: &PromptCache,
    parts: &[(u64, u32)],
) -> u32 {
    cache.cached_tokens(chain(ADAPTER, parts).segments())
}

/// Guards against parts that count as kept for other weights, or behind other parts: an engine can't use them there.
#[rstest]
#[case::same(ADAPTER, &[(1, 100), (2, 50)], 2)]
#[case::other_end(ADAPTER, &[(1, 100), (3, 50)], 1)]
#[case::other_start(ADAPTER, &[(3, 100), (2, 50)], 0)]
#[case::other_adapter("m0/a2", &[(1, 100), (2, 50)], 0)]
#[case::base_model("m0", &[(1, 100), (2, 50)], 0)]
fn a_segment_names_the_weights_and_all_parts_up_to_it(
    #[case] model: &str,
    #[case] parts: &[(u64, u32)],
    #[case] shared: usize,
) {
    let known = chain(ADAPTER, &[(1, 100), (2, 50)]);
    let other = chain(model, parts);
    let pairs = known.segments().iter().zip(other.segments());
    assert_eq!(pairs.filter(|(a, b)| a.chain == b.chain).count(), shared);
}

/// Guards against ranks that depend on the part that belongs to one request, and against prompts of one part that all
/// rank alike.
#[test]
fn the_leading_parts_are_all_but_the_last() {
    let first = chain(ADAPTER, &[(1, 100), (2, 50), (3, 20)]);
    let second = chain(ADAPTER, &[(1, 100), (2, 50), (4, 30)]);
    assert_eq!(first.leading_id(), second.leading_id());
    assert_eq!(first.leading_tokens(), 150);
    let single = chain(ADAPTER, &[(1, 100)]);
    assert_eq!(single.leading_tokens(), 100);
    assert_ne!(
        single.leading_id(),
        chain(ADAPTER, &[(2, 100)]).leading_id()
    );
    assert!(PromptChain::of(&generation(ADAPTER, &[])).is_none());
}

/// Guards against datagrams of any size: callers list as many parts as they like.
#[test]
fn a_chain_holds_a_bounded_number_of_parts() {
    let parts: Vec<(u64, u32)> = (0..1_000).map(|id| (id, 10)).collect();
    assert!(chain(ADAPTER, &parts).segments().len() <= 16);
}

#[test]
fn parts_count_only_behind_parts_that_are_kept() {
    let mut cache = PromptCache::default();
    cache.record(&prompt(&[(1, 100), (2, 50)]));
    assert_eq!(cached(&cache, &[(1, 100), (2, 50), (3, 20)]), 150);
    assert_eq!(cached(&cache, &[(1, 100), (3, 20)]), 100);
    assert_eq!(cached(&cache, &[(2, 50)]), 0);
    assert_eq!(cached(&cache, &[(3, 20), (2, 50)]), 0);
}

/// Guards against a prompt that is counted once for each request that sends it.
#[test]
fn a_shared_part_takes_memory_once() {
    let mut cache = PromptCache::default();
    for id in 0..5 {
        cache.record(&prompt(&[(100, 1_000), (id, 10)]));
    }
    assert_eq!((cache.tokens(), cache.len()), (1_050, 6));
}

/// Guards against the loss of what is used most, and of first parts before those that follow them.
#[test]
fn the_least_recently_used_parts_are_evicted_later_parts_of_a_prompt_first() {
    let mut cache = PromptCache::default();
    let old = [(1, 100), (2, 50)];
    let new = [(3, 100), (4, 50)];
    cache.record(&prompt(&old));
    cache.record(&prompt(&new));
    cache.shrink_to(280);
    assert_eq!((cached(&cache, &old), cached(&cache, &new)), (100, 150));
    cache.shrink_to(160);
    assert_eq!((cached(&cache, &old), cached(&cache, &new)), (0, 150));
    cache.record(&prompt(&[(1, 100)]));
    cache.shrink_to(200);
    assert_eq!((cached(&cache, &old), cached(&cache, &new)), (100, 100));
    cache.shrink_to(0);
    assert!(cache.is_empty());
}

/// Guards against parts that take memory and are of no use, as a part before them is gone, and against wrong sums.
#[test]
fn no_part_outlives_one_that_precedes_it() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut cache = PromptCache::default();
    let mut sent: Vec<Vec<(u64, u32)>> = Vec::new();
    for _ in 0..2_000 {
        let depth = rng.random_range(1..5);
        let parts: Vec<(u64, u32)> = (0..depth)
            .map(|_| {
                let id = rng.random_range(0..4);
                (id, 10 + 7 * id as u32)
            })
            .collect();
        cache.record(&prompt(&parts));
        sent.push(parts);
        let capacity = rng.random_range(200..2_000);
        cache.shrink_to(capacity);
        assert!(cache.tokens() <= capacity);
    }
    let mut useful: HashMap<u64, u64> = HashMap::new();
    for parts in &sent {
        let chain = chain(ADAPTER, parts);
        let kept = cache.cached_tokens(chain.segments());
        let mut sum = 0;
        for segment in chain.segments() {
            sum += segment.tokens;
            if sum <= kept {
                useful.insert(segment.chain, u64::from(segment.tokens));
            }
        }
    }
    assert_eq!(useful.values().sum::<u64>(), cache.tokens());
    assert_eq!(useful.len(), cache.len());
}

/// Guards against memory of a host that grows with the number of small prompts.
#[test]
fn the_number_of_parts_is_bounded() {
    let mut cache = PromptCache::default();
    for id in 0..10_000 {
        cache.record(&prompt(&[(id, 1)]));
    }
    assert_eq!(cache.len(), 2_048);
    assert_eq!(cached(&cache, &[(9_999, 1)]), 1);
    assert_eq!(cached(&cache, &[(1, 1)]), 0);
}

fn spec() -> EngineSpec {
    EngineSpec {
        models: vec![BaseModel {
            name: "m0".to_string(),
            weights_mb: 40_000.0,
            adapter_mb: 10.0,
            load_time: ms(600),
        }],
        slots: 8,
        memory_tokens: 20_000,
        weights_mb: 41_000.0,
        adapter_slots: 6,
        loads_per_second: 3.0,
    }
}

fn allocator(now: Instant) -> EngineAllocator {
    EngineAllocator::new(ENGINE, spec(), SharedAllocatorState::default(), now)
}

fn usage(
    tokens: u32,
    prompts: Vec<SentPrompt>,
) -> Usage {
    Usage {
        target: ENGINE.to_string(),
        in_flight: 1,
        tokens,
        prompts,
        ..Usage::default()
    }
}

fn report(
    started: u64,
    sequence: u64,
    adapters: &[&str],
) -> TargetReport {
    let adapters = adapters.iter().map(|name| HeldAdapter {
        name: name.to_string(),
        version: 1,
    });
    TargetReport {
        started: Some(TargetStart::from_unix_ms(started)),
        sequence,
        models: vec![HeldModel {
            name: "m0".to_string(),
            adapters: adapters.collect(),
        }],
        coming: Vec::new(),
        at_hand: Vec::new(),
        busy: false,
        waiting: 0,
        running: 0,
        memory_used: 0,
        memory_total: 0,
    }
}

const PARTS: &[(u64, u32)] = &[(1, 6_300), (2, 2_890)];

fn kept_at(allocator: &EngineAllocator) -> u32 {
    allocator.cached_tokens(chain(ADAPTER, PARTS).segments())
}

/// Guards against queries that count as sent prompts: the request goes to one of several engines that are queried.
#[test]
fn only_sent_prompts_count_as_kept() {
    let now = Instant::now();
    let mut allocator = allocator(now);
    let query = EngineQuery {
        target: ENGINE.to_string(),
        adapter: ADAPTER.to_string(),
        chance: 100,
        tokens: 10_000,
        prompt_tokens: 9_190,
        segments: chain(ADAPTER, PARTS).segments().to_vec(),
    };
    allocator.on_query(host(1), &query, now);
    assert_eq!(kept_at(&allocator), 0);
    assert_eq!(allocator.usage().excluding(host(2)).unread_tokens, 9_190);
    allocator.on_usage(host(1), &usage(9_000, vec![prompt(PARTS)]), now);
    assert_eq!(kept_at(&allocator), 9_190);
    allocator.on_query(host(1), &query, now);
    let unread = allocator.usage().excluding(host(2)).unread_tokens;
    assert_eq!(unread, 0, "the prompt of an expected request is kept");
}

/// Guards against parts that count as kept although running requests need their memory.
#[test]
fn running_requests_take_memory_from_kept_parts() {
    let now = Instant::now();
    let mut allocator = allocator(now);
    allocator.on_usage(host(1), &usage(1_000, vec![prompt(PARTS)]), now);
    assert_eq!(kept_at(&allocator), 9_190);
    allocator.on_usage(host(2), &usage(12_000, Vec::new()), now);
    assert_eq!(kept_at(&allocator), 6_300);
    allocator.on_usage(host(2), &usage(19_000, Vec::new()), now);
    assert_eq!(kept_at(&allocator), 0);
}

/// Guards against an estimate that outlives the engine's process.
#[test]
fn a_restart_of_the_engine_empties_the_estimate() {
    let now = Instant::now();
    let mut allocator = allocator(now);
    allocator.on_incarnation(Some(TargetStart::from_unix_ms(1)), now);
    allocator.on_usage(host(1), &usage(1_000, vec![prompt(PARTS)]), now);
    allocator.on_incarnation(Some(TargetStart::from_unix_ms(1)), now);
    assert_eq!(kept_at(&allocator), 9_190);
    allocator.on_incarnation(Some(TargetStart::from_unix_ms(2)), now);
    assert_eq!(kept_at(&allocator), 0);
}

/// Guards against an estimate that outlives the weights it belongs to, as seen in the engine's report.
#[rstest]
#[case::held(&["a1"], 9_190)]
#[case::unloaded(&["a2"], 0)]
fn parts_of_an_adapter_that_left_are_dropped(
    #[case] held: &[&str],
    #[case] kept: u32,
) {
    let now = Instant::now();
    let mut allocator = allocator(now);
    let requested = allocator.on_tick(now);
    assert!(requested.contains(&AllocatorAction::RequestReport));
    allocator.on_report(Some(report(1, 0, &["a1"])), now);
    let other = chain("m0", PARTS);
    let prompts = vec![prompt(PARTS), other.sent()];
    let mut usage = usage(0, prompts);
    usage.in_flight = 0;
    allocator.on_usage(host(1), &usage, now);
    assert_eq!(kept_at(&allocator), 9_190);
    allocator.on_missing_adapter(ADAPTER, now);
    assert!(
        allocator
            .on_tick(now)
            .contains(&AllocatorAction::RequestReport)
    );
    allocator.on_report(Some(report(1, 0, held)), now);
    assert_eq!(kept_at(&allocator), kept);
    assert_eq!(
        allocator.cached_tokens(other.segments()),
        9_190,
        "the base model's own parts stay"
    );
}

/// Guards against parts that count as kept after the adapter's unload was ordered and carried out.
#[test]
fn an_unload_drops_what_was_kept_for_the_adapter() {
    let mut now = Instant::now();
    let mut allocator = allocator(now);
    allocator.on_tick(now);
    let held = ["a1", "a2", "a3", "a4", "a5", "a6"];
    allocator.on_report(Some(report(1, 0, &held)), now);
    let names = held.map(|name| format!("m0/{name}"));
    let prompts = names.iter().map(|name| chain(name, &[(1, 100)]).sent());
    allocator.on_usage(host(1), &usage(0, prompts.collect()), now);
    let kept = |allocator: &EngineAllocator| {
        let kept = names.iter().map(|name| chain(name, &[(1, 100)]));
        let kept = kept.filter(|chain| allocator.cached_tokens(chain.segments()) > 0);
        kept.count()
    };
    assert_eq!(kept(&allocator), 6);
    now += Duration::from_secs(30);
    let want = coveproxy::connection::datagram::Want {
        target: ENGINE.to_string(),
        adapter: "m0/a7".to_string(),
        version: 1,
        waiting: 1,
        priority: 1,
        spare: false,
        patience_ms: 900,
    };
    let actions = allocator.on_want(host(1), &want, now);
    let unload = actions.iter().find_map(|action| match action {
        AllocatorAction::Order(order) if order.kind == OrderKind::Unload => Some(order.clone()),
        _ => None,
    });
    let unload = unload.expect("all slots are in use");
    allocator.on_order_end(Some(OrderReply::Done), now);
    let dropped = format!("m0/{}", unload.adapter.unwrap());
    assert_eq!(kept(&allocator), 5);
    assert_eq!(
        allocator.cached_tokens(chain(&dropped, &[(1, 100)]).segments()),
        0
    );
}

/// Guards against reports that grow with the load, and against prompts that are lost between two reports.
#[test]
fn a_report_holds_a_bounded_number_of_prompts_and_the_rest_follow() {
    let mut queue = SentPrompts::default();
    for id in 0..40 {
        queue.push(prompt(&[(id, 10)]));
    }
    let reports: Vec<usize> = (0..4).map(|_| queue.take_report().len()).collect();
    assert_eq!(reports, [MAX_REPORTED_PROMPTS, MAX_REPORTED_PROMPTS, 8, 0]);
    for id in 0..1_000 {
        queue.push(prompt(&[(id, 10)]));
    }
    let mut left = Vec::new();
    while !queue.is_empty() {
        left.extend(queue.take_report());
    }
    assert_eq!(left.len(), 64);
    assert_eq!(left.last(), Some(&prompt(&[(999, 10)])));
}

#[test]
fn a_report_holds_a_bounded_number_of_parts() {
    let mut queue = SentPrompts::default();
    for at in 0..20 {
        let parts: Vec<(u64, u32)> = (0..16).map(|id| (at * 100 + id, 10)).collect();
        queue.push(prompt(&parts));
    }
    let report = queue.take_report();
    assert_eq!(report.len(), 4);
    let usage = usage(0, report);
    let bytes = prost::Message::encoded_len(&usage);
    assert!(bytes < 1_200, "{bytes} bytes");
}

/// Guards against an answer that is taken for that of another request in flight at the same engine, or is used late.
#[test]
fn answers_belong_to_a_prompt_and_expire() {
    let now = Instant::now();
    let mut answers = CachedPrompts::default();
    answers.record(1, 500, now);
    answers.record(2, 0, now);
    answers.record(3, 900, now);
    assert_eq!(
        [1, 2, 3, 4].map(|id| answers.tokens(id, now)),
        [500, 0, 900, 0]
    );
    answers.record(1, 700, now + ms(100));
    assert_eq!(answers.tokens(1, now + ms(450)), 700);
    assert_eq!(answers.tokens(3, now + ms(450)), 0);
    for id in 100..200 {
        answers.record(id, 1, now + ms(100));
    }
    assert_eq!(answers.tokens(199, now + ms(100)), 1);
    assert_eq!(answers.tokens(100, now + ms(100)), 0);
}

struct Site {
    table: TargetTable,
    sent: flume::Receiver<ControlRequest>,
    now: Instant,
}

impl Site {
    fn new(
        hosts: usize,
        policy: Policy,
    ) -> Self {
        let (control, sent) = flume::unbounded();
        let settings = TargetTableSettings {
            budget_window: ms(10_000),
            budget_ratio: 0.2,
            budget_extra: 50.0,
            first_start: false,
            policy,
            bounds: StalenessBounds {
                declared: ms(3_000),
                revoke: Duration::from_secs(5),
                targets: ms(2_000),
                version: ms(5_000),
            },
        };
        let mut site = Self {
            table: TargetTable::new(settings, control),
            sent,
            now: Instant::now(),
        };
        site.set_view(hosts, Some(host(1)), 1);
        site
    }

    /// Sets a view with one engine, its holder, and its start.
    fn set_view(
        &mut self,
        hosts: usize,
        holder: Option<SocketAddr>,
        started: u64,
    ) {
        let record = TargetRecord {
            id: ENGINE.to_string(),
            started: Some(TargetStart::from_unix_ms(started)),
            service: "models".to_string(),
            software: SoftwareVersion::named("v1"),
            address: "10.1.0.1:8000".parse().unwrap(),
            hall: "hall".to_string(),
            slots: 8,
            state: TargetState::Ready,
            remaining: None,
            models: Vec::new(),
            is_empty: false,
        };
        let target = TargetView {
            record: Arc::new(record),
            holder,
            usable_until: None,
        };
        self.table.set_view(Arc::new(FleetView {
            targets: [(ENGINE.to_string(), Arc::new(target))].into(),
            hosts,
            ..FleetView::default()
        }));
    }

    /// Sends a request and returns the prompt tokens that count as unread.
    fn send(&mut self) -> u64 {
        let generation = generation(ADAPTER, PARTS);
        let unread = self.table.send_prompt(ENGINE, &generation, self.now);
        let tokens = RequestTokens {
            all: 9_290,
            prompt: unread,
        };
        self.table.start_request(ENGINE, Some(ADAPTER), tokens);
        unread
    }

    fn on_answer(
        &mut self,
        cached_tokens: u32,
    ) {
        let answer = EngineStanding {
            load: EngineLoad {
                target: ENGINE.to_string(),
                ..EngineLoad::default()
            },
            placement: None,
            cached_tokens,
            chain: chain(ADAPTER, PARTS).id(),
        };
        self.table.on_engine_status(&answer, self.now);
    }

    fn reported_prompts(&mut self) -> Vec<SentPrompt> {
        for _ in 0..4 {
            self.now += ms(150);
            self.table.report_usage(self.now);
        }
        let prompts = |request| match request {
            ControlRequest::ReportUsage { usage, .. } => usage.prompts,
            _ => Vec::new(),
        };
        self.sent.drain().flat_map(prompts).collect()
    }
}

fn caching_policy() -> Policy {
    Policy {
        prefers_cached_prompts: true,
        ..Policy::default()
    }
}

/// Guards against prompts that are reported twice, and against a change on small sites or with the switch off.
#[rstest]
#[case::large_site(MANY_HOSTS, true, 1)]
#[case::small_site(24, true, 0)]
#[case::switched_off(MANY_HOSTS, false, 0)]
fn sent_prompts_are_reported_once(
    #[case] hosts: usize,
    #[case] prefers_cached_prompts: bool,
    #[case] reported: usize,
) {
    let policy = Policy {
        prefers_cached_prompts,
        ..Policy::default()
    };
    let mut site = Site::new(hosts, policy);
    assert_eq!(site.send(), 9_190);
    let prompts = site.reported_prompts();
    assert_eq!(prompts, vec![prompt(PARTS); reported]);
    site.on_answer(6_300);
    let expected = 9_190 - 6_300 * reported as u64;
    assert_eq!(site.send(), expected, "what is kept is not unread");
    assert_eq!(site.table.links[ENGINE].unread_tokens, 9_190 + expected);
}

/// Guards against requests that count tokens as kept after the engine, its holder or the answer is gone.
#[test]
fn nothing_counts_as_kept_without_a_recent_answer() {
    let mut site = Site::new(MANY_HOSTS, caching_policy());
    site.on_answer(6_300);
    assert_eq!(site.send(), 2_890);
    site.now += ms(400);
    assert_eq!(site.send(), 9_190, "the answer has expired");
    site.on_answer(6_300);
    site.set_view(MANY_HOSTS, Some(host(1)), 2);
    assert_eq!(site.send(), 9_190, "another start of the engine");
}

/// Guards against the loss of a holder: another one knows nothing and answers 0, and is told of what is sent from then
/// on.
#[test]
fn a_new_holder_learns_from_the_prompts_that_follow() {
    let mut site = Site::new(MANY_HOSTS, caching_policy());
    site.send();
    site.reported_prompts();
    site.set_view(MANY_HOSTS, None, 1);
    let query = EngineQuery {
        target: ENGINE.to_string(),
        ..EngineQuery::default()
    };
    assert!(!site.table.query(query));
    for _ in 0..40 {
        site.send();
    }
    assert_eq!(site.reported_prompts(), []);
    let mut successor = allocator(site.now);
    assert_eq!(kept_at(&successor), 0);
    site.set_view(MANY_HOSTS, Some(host(2)), 1);
    let prompts = site.reported_prompts();
    assert_eq!(prompts.len(), 40, "what was sent meanwhile is told");
    successor.on_usage(host(3), &usage(0, prompts), site.now);
    assert_eq!(kept_at(&successor), 9_190);
}

fn engine_ids(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("i-{at:08x}")).collect()
}

fn first(
    id: u64,
    engines: &[String],
) -> Vec<&str> {
    let first = first_by_prompt(id, engines.iter().map(String::as_str), 2);
    first.into_iter().map(|at| engines[at].as_str()).collect()
}

/// Guards against a rank by which an engine that comes or goes moves prompts that it has nothing to do with: each of
/// them would be read anew.
#[test]
fn a_change_of_the_engines_moves_few_prompts() {
    let engines = engine_ids(60);
    let without = [&engines[..30], &engines[31..]].concat();
    let mut moved = 0;
    for part in 0..3_000 {
        let id = chain(ADAPTER, &[(part, 100), (0, 10)]).leading_id();
        let (before, after) = (first(id, &engines), first(id, &without));
        if !before.contains(&engines[30].as_str()) {
            assert_eq!(before, after);
        }
        moved += usize::from(before[0] != after[0]);
    }
    let share = moved as f64 / 3_000.0;
    assert!(share < 2.0 / 60.0, "{share} of the prompts have moved");
}

/// Guards against a rank by which hosts that know the engines in another order choose other ones.
#[test]
fn the_rank_does_not_depend_on_the_order_of_engines() {
    let engines = engine_ids(60);
    let reversed: Vec<String> = engines.iter().rev().cloned().collect();
    for part in 0..200 {
        let id = chain(ADAPTER, &[(part, 100)]).leading_id();
        assert_eq!(first(id, &engines), first(id, &reversed));
    }
    assert_eq!(first(1, &engines[..1]), [&engines[0]]);
    assert!(first(1, &[]).is_empty());
}

/// Guards against a rank that sends most prompts to a few engines.
#[test]
fn the_rank_spreads_prompts_evenly() {
    let engines = engine_ids(60);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for part in 0..6_000 {
        let id = chain(ADAPTER, &[(part, 100)]).leading_id();
        for engine in first(id, &engines) {
            *counts.entry(engine).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 60);
    let most = counts.values().max().unwrap();
    assert!(*most < 300, "{most} of 200 on average");
}

/// Prefill speed of the engines of the simulated load, in tokens a millisecond.
const TOKENS_PER_MS: f64 = 15.0;

/// An engine of the simulated load.
#[derive(Default)]
struct SimulatedEngine {
    cache: PromptCache,
    /// When it has read all prompts that were sent there, in milliseconds.
    free_at: f64,
}

/// Tokens that the engines have read.
#[derive(Default)]
struct Reads {
    all: u64,
    /// Tokens of parts that some engine had read before.
    again: u64,
    longest_wait: f64,
}

fn candidate(
    wait_ms: f64,
    prompt_affinity: Duration,
) -> EngineCandidate {
    EngineCandidate {
        load_time: DEFAULT_LOAD_TIME,
        copy_state: AdapterCopyState::Ready,
        reading: Reading::default(),
        streams: 0,
        time_to_first_event: Duration::from_secs_f64(wait_ms / 1_000.0),
        memory_share: 0.3,
        batch_share: 0.3,
        relative_load: 1.0,
        same_hall: true,
        load_unknown: false,
        avoided: false,
        has_holder: true,
        tried: false,
        availability: Availability::Open,
        prompt_affinity,
    }
}

/// Plays requests of 9,190 tokens, of which 6,300 are shared by all requests with the same leading part, against 60
/// engines that all hold the adapter. Samples are in the adapter's order of preference, as those of hosts are. `ranks`:
/// samples contain the engines that rank first, and holders are asked.
fn play(
    shared_parts: u64,
    interval_ms: f64,
    ranks: bool,
) -> Reads {
    let mut rng = StdRng::seed_from_u64(11);
    let names = engine_ids(60);
    let mut engines: Vec<SimulatedEngine> = Vec::new();
    engines.resize_with(60, SimulatedEngine::default);
    let mut known = HashSet::new();
    let mut reads = Reads::default();
    let start = Instant::now();
    let read_time = Duration::from_secs_f64(6_300.0 / TOKENS_PER_MS / 1_000.0);
    for at in 0..6_000_u64 {
        let now = at as f64 * interval_ms;
        let shared = rng.random_range(0..shared_parts);
        let shared = shared.min(rng.random_range(0..shared_parts));
        let chain = chain(ADAPTER, &[(shared, 6_300), (1_000 + at, 2_890)]);
        let ids = names.iter().map(String::as_str);
        let ranked = match ranks {
            true => first_by_prompt(chain.leading_id(), ids, 2),
            false => Vec::new(),
        };
        let others: Vec<usize> = (0..60).filter(|at| !ranked.contains(at)).collect();
        let others = others.sample(&mut rng, 6 - ranked.len()).copied();
        let mut sample: Vec<usize> = ranked.iter().copied().chain(others).collect();
        sample.sort_unstable();
        let unread = |at: usize| {
            let kept = engines[at].cache.cached_tokens(chain.segments());
            f64::from(9_190 - kept)
        };
        let candidates: Vec<EngineCandidate> = sample
            .iter()
            .map(|at| {
                let expected = match ranks {
                    true => unread(*at),
                    false => 9_190.0,
                };
                let wait = (engines[*at].free_at - now).max(0.0) + expected / TOKENS_PER_MS;
                let rank = ranked.iter().position(|ranked| ranked == at);
                let affinity = rank.map_or(Duration::ZERO, |rank| prompt_affinity(read_time, rank));
                candidate(wait, affinity)
            })
            .collect();
        let context = ChoiceContext {
            allowed_pause: None,
            may_hold: false,
            copy_price: Duration::ZERO,
            time_to_goal: ms(800),
            priority: 2,
            policy: Policy::default(),
            now: start,
        };
        let EngineChoice::Send { to, .. } = choose_engine(&candidates, &context) else {
            panic!("all engines are ready");
        };
        let chosen = sample[to];
        let read = unread(chosen);
        reads.all += read as u64;
        if read > 2_890.0 && !known.insert(shared) {
            reads.again += 6_300;
        }
        let engine = &mut engines[chosen];
        engine.free_at = engine.free_at.max(now) + read / TOKENS_PER_MS;
        reads.longest_wait = reads.longest_wait.max(engine.free_at - now);
        engine.cache.record(&chain.sent());
        engine.cache.shrink_to(300_000);
    }
    reads
}

/// Guards against shared parts that are read at many engines. Of the tokens read, less than 6% were read before where
/// memory is ample; random samples read far more again, else this test would show nothing. At 90 requests a
/// second, the parts that are not shared keep the engines busy for 0.3 of the time.
#[rstest]
#[case::few_popular_parts(40, 11.0)]
#[case::many_parts(200, 11.0)]
#[case::low_load(40, 30.0)]
#[case::many_parts_at_low_load(200, 30.0)]
fn few_shared_parts_are_read_again(
    #[case] shared_parts: u64,
    #[case] interval_ms: f64,
) {
    let share = |reads: &Reads| reads.again as f64 / reads.all as f64;
    let by_rank = play(shared_parts, interval_ms, true);
    let by_chance = play(shared_parts, interval_ms, false);
    println!(
        "read again: {:.3} by rank, {:.3} by chance; longest wait {:.0} and {:.0} ms",
        share(&by_rank),
        share(&by_chance),
        by_rank.longest_wait,
        by_chance.longest_wait
    );
    assert!(share(&by_rank) < 0.06, "{}", share(&by_rank));
    assert!(share(&by_chance) > 0.12, "{}", share(&by_chance));
    assert!(
        by_rank.longest_wait < 1.2 * by_chance.longest_wait,
        "the engines that rank first are overrun"
    );
}

/// Guards against a rank that counts for more than the time that it saves.
#[rstest]
#[case::equal_load(100.0, 0)]
#[case::a_little_busier(140.0, 0)]
#[case::much_busier(170.0, 1)]
fn the_engine_that_ranks_first_is_preferred_while_it_costs_little(
    #[case] wait_ms: f64,
    #[case] chosen: usize,
) {
    let candidates = [
        candidate(wait_ms, prompt_affinity(ms(420), 0)),
        candidate(100.0, Duration::ZERO),
    ];
    let context = ChoiceContext {
        allowed_pause: None,
        may_hold: false,
        copy_price: Duration::ZERO,
        time_to_goal: ms(800),
        priority: 2,
        policy: Policy::default(),
        now: Instant::now(),
    };
    let choice = choose_engine(&candidates, &context);
    let expected = EngineChoice::Send {
        to: chosen,
        also_load: None,
    };
    assert_eq!(choice, expected);
}

/// Guards against wire names that change: hosts of different versions run side by side during an update.
#[test]
fn the_messages_keep_their_fields() {
    let segment = PromptSegment {
        chain: 5,
        tokens: 300,
    };
    let sent = SentPrompt {
        segments: vec![segment],
        root: 6,
    };
    let bytes = prost::Message::encode_to_vec(&sent);
    let expected = [
        &[0x0a, 12, 0x09, 5, 0, 0, 0, 0, 0, 0, 0, 0x10, 0xac, 0x02][..],
        &[0x11, 6, 0, 0, 0, 0, 0, 0, 0],
    ];
    assert_eq!(bytes, expected.concat());
}

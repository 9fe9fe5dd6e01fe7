//! The choice of an engine on a large site, with what holders say of the prompt: samples, queries and their answers.

use {
    bytes::Bytes,
    coveproxy::{
        clock::Instant,
        connection::{
            datagram::{EngineLoad, EngineQuery, EngineStanding, Placement, PlacementState},
            front::{Attempts, Choice, Chooser},
            targets::{
                ControlRequest, FleetView, StalenessBounds, TargetTable, TargetTableSettings,
                TargetView,
            },
        },
        formats::{HeldAdapter, HeldModel, SoftwareVersion, TargetRecord, TargetState},
        request::{
            direct::{CallRequest, Generation, Policy, PromptChain, PromptPart, first_by_prompt},
            memory::CallerMemory,
        },
        version::routing::{BaseModel, EngineSpec, Route, RouteKind, TargetService},
    },
    http::{HeaderMap, Method},
    rstest::rstest,
    std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration},
};

const ADAPTER: &str = "m0/a1";
const ENGINES: usize = 30;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine_id(at: usize) -> String {
    format!("e{at:02}")
}

/// A large site whose engines all hold the adapter, and one host's choices there.
struct Site {
    table: Rc<RefCell<TargetTable>>,
    chooser: Chooser,
    sent: flume::Receiver<ControlRequest>,
}

impl Site {
    fn new(prefers_cached_prompts: bool) -> Self {
        let (control, sent) = flume::unbounded();
        let settings = TargetTableSettings {
            budget_window: ms(10_000),
            budget_ratio: 0.2,
            budget_extra: 50.0,
            first_start: false,
            policy: Policy {
                prefers_cached_prompts,
                ..Policy::default()
            },
            bounds: StalenessBounds {
                declared: ms(3_000),
                revoke: Duration::from_secs(5),
                targets: ms(2_000),
                version: ms(5_000),
            },
        };
        let mut table = TargetTable::new(settings, control);
        table.set_view(Arc::new(FleetView {
            targets: (0..ENGINES).map(target).collect(),
            hosts: 75,
            ..FleetView::default()
        }));
        let table = Rc::new(RefCell::new(table));
        Self {
            chooser: Chooser::new(table.clone(), "hall"),
            table,
            sent,
        }
    }

    /// Starts the choice for a request, and returns the queries that it sends to holders.
    fn queries(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Vec<EngineQuery> {
        let choice = self.chooser.choose(request, attempts, Instant::now());
        assert!(matches!(choice, Choice::AwaitReports { .. }));
        let query = |sent| match sent {
            ControlRequest::QueryEngine { query, .. } => Some(query),
            _ => None,
        };
        self.sent.drain().filter_map(query).collect()
    }

    /// Answers a query: the engine holds the adapter, and `unread_tokens` of other hosts' prompts wait there.
    fn answer(
        &self,
        query: &EngineQuery,
        unread_tokens: u32,
        cached_tokens: u32,
    ) {
        let answer = EngineStanding {
            load: EngineLoad {
                target: query.target.clone(),
                unread_tokens,
                ..EngineLoad::default()
            },
            placement: (!query.adapter.is_empty()).then(|| Placement {
                target: query.target.clone(),
                adapter: query.adapter.clone(),
                version: 1,
                state: PlacementState::Ready as i32,
                ..Placement::default()
            }),
            cached_tokens,
            chain: query.segments.last().map_or(0, |last| last.chain),
        };
        let mut table = self.table.borrow_mut();
        table.on_engine_status(&answer, Instant::now());
    }

    fn chosen(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> String {
        match self.chooser.choose(request, attempts, Instant::now()) {
            Choice::Send(destination) => destination.target.to_string(),
            _ => panic!("all engines are ready"),
        }
    }
}

fn target(at: usize) -> (String, Arc<TargetView>) {
    let record = TargetRecord {
        id: engine_id(at),
        started: None,
        service: "models".to_string(),
        software: SoftwareVersion::named("v1"),
        address: format!("10.1.0.{at}:8000").parse().unwrap(),
        hall: "hall".to_string(),
        slots: 8,
        state: TargetState::Ready,
        remaining: None,
        models: vec![HeldModel {
            name: "m0".to_string(),
            adapters: vec![HeldAdapter {
                name: "a1".to_string(),
                version: 1,
            }],
        }],
        is_empty: false,
    };
    let view = TargetView {
        record: Arc::new(record),
        holder: Some("10.0.0.1:7000".parse().unwrap()),
        usable_until: None,
    };
    (view.record.id.clone(), Arc::new(view))
}

/// Returns a request with a shared prompt part and one of its own.
fn request(
    model: &str,
    own: u64,
) -> CallRequest {
    let now = Instant::now();
    let route = Route {
        name: "digest".to_string(),
        host: "models.test".to_string(),
        path_prefix: "/".to_string(),
        kind: RouteKind::Stream,
        timeout: ms(10_000),
        aim: ms(800),
        gap_aim: ms(600),
        priority: 1,
        services: Vec::new(),
        max_attempts: 3,
        resumable: true,
        public: true,
    };
    let service = TargetService {
        name: "models".to_string(),
        health_path: "/".to_string(),
        max_connections: 100,
        engine: Some(EngineSpec {
            models: vec![BaseModel {
                name: "m0".to_string(),
                weights_mb: 40_000.0,
                adapter_mb: 10.0,
                load_time: ms(600),
            }],
            slots: 8,
            memory_tokens: 200_000,
            weights_mb: 41_000.0,
            adapter_slots: 6,
            loads_per_second: 3.0,
        }),
    };
    let part = |id, tokens| PromptPart { id, tokens };
    CallRequest {
        id: None,
        method: Method::POST,
        path_and_query: "/generate".to_string(),
        is_forwarded: false,
        authorization: None,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: now,
        deadline: now + ms(10_000),
        route: Arc::new(route),
        service: Arc::new(service),
        shared_parts: Vec::new(),
        generation: Some(Generation {
            model: model.to_string(),
            tokens_in: 9_190,
            tokens_out: 100,
            length_hint: None,
            parts: vec![part(1, 6_300), part(own, 2_890)],
        }),
        credential: None,
        declared_tokens: None,
        urgency: 1,
        memory: CallerMemory::default(),
    }
}

fn chain_of(request: &CallRequest) -> PromptChain {
    PromptChain::of(request.generation.as_ref().unwrap()).unwrap()
}

/// Engines of a sample that rank first for the prompt, and those drawn by chance.
const BY_PROMPT: usize = 2;
const BY_CHANCE: usize = 6;

/// Guards against purely random samples, with which each request sees other engines than the last one with the same
/// parts.
#[rstest]
#[case::for_an_adapter(ADAPTER)]
#[case::for_a_base_model("m0")]
fn samples_contain_the_engines_that_rank_first(#[case] model: &str) {
    let site = Site::new(true);
    let ids: Vec<String> = (0..ENGINES).map(engine_id).collect();
    let mut seen = BTreeSet::new();
    for own in 0..20 {
        let request = request(model, 100 + own);
        let chain = chain_of(&request);
        let queries = site.queries(&request, &mut Attempts::default());
        assert_eq!(queries.len(), BY_PROMPT + BY_CHANCE);
        let ids = ids.iter().map(String::as_str);
        for first in first_by_prompt(chain.leading_id(), ids, BY_PROMPT) {
            let query = queries
                .iter()
                .find(|query| query.target == engine_id(first));
            let query = query.expect("the engine is in the sample");
            assert_eq!(query.segments, chain.segments());
        }
        seen.extend(queries.into_iter().map(|query| query.target));
    }
    assert!(seen.len() > 20, "the others are drawn by chance");
}

/// Guards against a change of what hosts send and choose with the switch off.
#[test]
fn nothing_is_asked_about_prompts_with_the_switch_off() {
    let site = Site::new(false);
    let mut seen = BTreeSet::new();
    for own in 0..20 {
        let queries = site.queries(&request(ADAPTER, own), &mut Attempts::default());
        assert_eq!(queries.len(), BY_CHANCE);
        assert!(queries.iter().all(|query| query.segments.is_empty()));
        seen.insert(queries[0].target.clone());
    }
    assert!(seen.len() > 2);
}

/// Guards against answers that are ignored, and against a preference that counts for more than the time saved: 6,300
/// tokens are read in 420 ms at the assumed speed.
#[rstest]
#[case::equal_load(0, true)]
#[case::less_than_what_is_saved(3_000, true)]
#[case::more_than_what_is_saved(9_000, false)]
fn a_request_goes_where_its_prompt_is_kept_unless_that_engine_is_busier(
    #[case] unread_tokens: u32,
    #[case] expected: bool,
) {
    let site = Site::new(true);
    let request = request(ADAPTER, 100);
    let mut attempts = Attempts::default();
    let queries = site.queries(&request, &mut attempts);
    let keeper = queries.len() - 1;
    for (at, query) in queries.iter().enumerate() {
        match at == keeper {
            true => site.answer(query, unread_tokens, 6_300),
            false => site.answer(query, 0, 0),
        }
    }
    let chosen = site.chosen(&request, &mut attempts);
    assert_eq!(chosen == queries[keeper].target, expected);
}

/// Guards against hosts that have the same new parts read at different engines.
#[test]
fn new_parts_are_read_at_the_engine_that_ranks_first() {
    let ids: Vec<String> = (0..ENGINES).map(engine_id).collect();
    for own in 0..10 {
        let site = Site::new(true);
        let request = request(ADAPTER, 100 + own);
        let mut attempts = Attempts::default();
        for query in site.queries(&request, &mut attempts) {
            site.answer(&query, 0, 0);
        }
        let ids = ids.iter().map(String::as_str);
        let first = first_by_prompt(chain_of(&request).leading_id(), ids, 1);
        assert_eq!(site.chosen(&request, &mut attempts), engine_id(first[0]));
    }
}

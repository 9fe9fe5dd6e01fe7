//! Each interface's contract, run against the stand-in and its failing variants.

use {
    coveproxy::{
        client::CallerClient,
        connection::{
            platform::{
                Commit, Condition, HostList, HostState, HttpHostList, HttpObjectStore, HttpTable,
                HttpWeightStore, ListedHost, ObjectStore, Table, Transaction, WeightStore, Write,
            },
            target::{
                AdapterState, AnswerCheck, CheckedEvent, EngineOrder, OrderRequest, SseReader,
                TargetCall, TargetClient,
            },
        },
        errors::{ConfigError, PlatformError, TargetError},
        standin::{
            EngineFaults, EngineStandin, EngineStandinSpec, FaultProxy, PlainFaults, PlainStandin,
            PlatformFaults, PlatformStandin, PlatformStandinSpec, ProxyFault,
        },
        version::{AdapterVersion, Change, ConfigStore, OutfitterSpec, SiteConfig},
    },
    http::{HeaderMap, Method},
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const TIMEOUT: Duration = Duration::from_millis(400);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform() -> PlatformStandin {
    let spec = PlatformStandinSpec {
        address: any_port(),
        fetch_time: Duration::from_millis(30),
    };
    PlatformStandin::start(spec).await.unwrap()
}

/// Runs blocking calls beside the stand-in.
async fn blocking<T: Send + 'static>(call: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(call).await.unwrap()
}

fn put(
    key: &str,
    version: u64,
    value: &str,
) -> Transaction {
    Transaction {
        conditions: vec![Condition::new(key, version)],
        writes: vec![Write::put(key, value.into())],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_commits_all_or_nothing() {
    let platform = platform().await;
    let table = HttpTable::new(platform.address(), TIMEOUT);
    blocking(move || {
        assert_eq!(table.get("a/1").unwrap(), None);
        let Commit::Done { sequence } = table.transact(&put("a/1", 0, "x")).unwrap() else {
            panic!("a first write commits")
        };
        let lost = table.transact(&put("a/1", 0, "y")).unwrap();
        let found = vec![Condition::new("a/1", sequence)];
        assert_eq!(lost, Commit::Conflict { found });
        let mut both = put("a/2", 0, "z");
        both.conditions.push(Condition::new("a/1", sequence + 7));
        assert!(matches!(
            table.transact(&both).unwrap(),
            Commit::Conflict { .. }
        ));
        assert_eq!(table.get("a/2").unwrap(), None);
        let all = table.scan(&["a/"], 0).unwrap();
        assert_eq!(all.rows.len(), 1);
        let delete = Transaction {
            conditions: vec![Condition::new("a/1", sequence)],
            writes: vec![Write::delete("a/1")],
        };
        assert!(matches!(
            table.transact(&delete).unwrap(),
            Commit::Done { .. }
        ));
        assert_eq!(table.get("a/1").unwrap(), None);
        let since = table.scan(&["a/"], all.sequence).unwrap();
        assert!(since.rows.len() == 1 && since.rows[0].deleted);
        assert!(table.scan(&["b/"], 0).unwrap().rows.is_empty());
    })
    .await;
}

/// How a failing table shows itself, and whether a write may have taken effect.
#[rstest]
#[case(PlatformFaults { table_down: true, ..PlatformFaults::default() }, false, false)]
#[case(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() }, true, true)]
#[case(PlatformFaults { table_slow_ms: 1_000, ..PlatformFaults::default() }, true, false)]
#[tokio::test(flavor = "multi_thread")]
async fn failing_table(
    #[case] faults: PlatformFaults,
    #[case] doubtful: bool,
    #[case] took_effect: bool,
) {
    let platform = platform().await;
    platform.set_faults(faults);
    let table = Arc::new(HttpTable::new(platform.address(), TIMEOUT));
    let (called, after) = (table.clone(), table);
    let error = blocking(move || called.transact(&put("a/1", 0, "x")).unwrap_err()).await;
    assert_eq!(error.may_have_committed(), doubtful, "{error}");
    platform.set_faults(PlatformFaults::default());
    let row = blocking(move || after.get("a/1").unwrap()).await;
    assert!(row.is_some() == took_effect || doubtful);
}

#[tokio::test(flavor = "multi_thread")]
async fn absent_platform_is_not_reached() {
    let gone = {
        let listener = std::net::TcpListener::bind(any_port()).unwrap();
        listener.local_addr().unwrap()
    };
    let table = HttpTable::new(gone, TIMEOUT);
    let error = blocking(move || table.transact(&put("a", 0, "x")).unwrap_err()).await;
    assert!(matches!(error, PlatformError::NotReached { .. }), "{error}");
    assert!(!error.may_have_committed());
}

#[tokio::test(flavor = "multi_thread")]
async fn objects_hosts_and_weights() {
    let platform = platform().await;
    let address = platform.address();
    let host = ListedHost {
        name: "h".into(),
        hall: "a".into(),
        caller_address: any_port(),
        peer_address: any_port(),
        admin_address: any_port(),
        state: HostState::Leaving,
    };
    platform.set_hosts(vec![host.clone()]);
    blocking(move || {
        let objects = HttpObjectStore::new(address, TIMEOUT);
        assert_eq!(objects.get("o").unwrap(), None);
        objects.put("o", "content").unwrap();
        assert_eq!(objects.get("o").unwrap().as_deref(), Some("content"));
        assert_eq!(
            HttpHostList::new(address, TIMEOUT).read().unwrap(),
            vec![host]
        );
        let health = HttpWeightStore::new(address, TIMEOUT).health().unwrap();
        assert!(health.up && health.loads_per_second > 30.0);
    })
    .await;
    platform.set_faults(PlatformFaults {
        weights_down: true,
        objects_down: true,
        hosts_lag_ms: 60_000,
        ..PlatformFaults::default()
    });
    platform.set_hosts(Vec::new());
    blocking(move || {
        assert!(!HttpWeightStore::new(address, TIMEOUT).health().unwrap().up);
        assert!(HttpObjectStore::new(address, TIMEOUT).get("o").is_err());
        assert_eq!(HttpHostList::new(address, TIMEOUT).read().unwrap().len(), 1);
    })
    .await;
}

/// A configuration of 3 MB takes longer on a slow link than the platform may be silent for: a limit on the
/// whole transfer would cut it at each try.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_object_may_be_long_on_its_way() {
    let platform = platform().await;
    let address = platform.address();
    let content = "x".repeat(3_000_000);
    let stored = content.clone();
    blocking(move || {
        let objects = HttpObjectStore::new(address, TIMEOUT);
        objects.put("large", &stored).unwrap();
    })
    .await;
    let link = FaultProxy::start(address).await.unwrap();
    link.set(ProxyFault {
        bytes_per_s: Some(1_250_000),
        ..ProxyFault::default()
    });
    let slow = link.address();
    let got = blocking(move || HttpObjectStore::new(slow, TIMEOUT).get("large")).await;
    assert_eq!(got.unwrap().as_deref(), Some(content.as_str()));
    // One that falls silent is given up, however long the transfer may take.
    link.set(ProxyFault {
        stall_answers: true,
        ..ProxyFault::default()
    });
    let silent = blocking(move || HttpObjectStore::new(slow, TIMEOUT).get("large")).await;
    assert!(silent.is_err());
}

fn worth(name: &str) -> Vec<Change> {
    vec![Change::SetOutfitter {
        name: name.into(),
        spec: OutfitterSpec { worth: 2.0 },
    }]
}

fn store(platform: &PlatformStandin) -> ConfigStore {
    let table = Arc::new(HttpTable::new(platform.address(), TIMEOUT));
    let objects = Arc::new(HttpObjectStore::new(platform.address(), TIMEOUT));
    ConfigStore::new(table, objects)
}

#[tokio::test(flavor = "multi_thread")]
async fn revisions_grow_through_lost_replies_and_races() {
    let platform = platform().await;
    let stores = (store(&platform), store(&platform));
    let config = blocking(move || {
        let mut config = SiteConfig::default();
        for number in 0..70 {
            let name = format!("o{number}");
            config = stores.0.commit(&config, worth(&name), "me", &name).unwrap();
        }
        let lost = stores
            .1
            .commit(&SiteConfig::default(), worth("late"), "you", "late");
        assert_eq!(lost, Err(ConfigError::Conflict { seen: 0, found: 70 }));
        let partly = stores.1.read(&SiteConfig::default()).unwrap();
        assert_eq!(partly, config);
        config
    })
    .await;
    platform.set_faults(PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    });
    let reader = store(&platform);
    let writer = store(&platform);
    blocking(move || {
        let settled = writer.commit(&config, worth("lost"), "me", "lost").unwrap();
        assert_eq!(settled.revision, 71);
        assert_eq!(reader.read(&config).unwrap(), settled);
    })
    .await;
}

fn model(name: &str) -> AdapterVersion {
    name.parse().unwrap()
}

fn completion(
    address: SocketAddr,
    id: &str,
    name: &str,
) -> TargetCall {
    let body = format!(r#"{{"model":"{name}","prompt":"p","max_tokens":6,"stream":true}}"#);
    TargetCall {
        address,
        method: Method::POST,
        path: "/v1/completions".into(),
        headers: HeaderMap::new(),
        body: body.into(),
        request_id: id.into(),
        model: Some(model(name)),
        priority: 5,
        fence: 9,
        key: String::new(),
    }
}

fn order(
    fence: u64,
    order: EngineOrder,
) -> OrderRequest {
    OrderRequest { fence, order }
}

fn load(name: &str) -> EngineOrder {
    EngineOrder::LoadAdapter { model: model(name) }
}

fn unload(name: &str) -> EngineOrder {
    EngineOrder::UnloadAdapter { model: model(name) }
}

async fn engine(checks_fences: bool) -> EngineStandin {
    let mut spec = EngineStandinSpec::small(None);
    spec.checks_fences = checks_fences;
    spec.report_lag = Duration::from_millis(10);
    EngineStandin::start(spec).await.unwrap()
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test(flavor = "multi_thread")]
async fn engine_orders_and_fences(#[case] checks_fences: bool) {
    let engine = engine(checks_fences).await;
    let (client, at) = (TargetClient::new(), engine.address());
    let give = async |fence, what| client.order(at, &order(fence, what), TIMEOUT).await;
    assert_eq!(give(5, load("a@1")).await, Ok(()));
    assert_eq!(
        give(5, load("a@1")).await,
        Ok(()),
        "a load of what is there is no error"
    );
    let stale = give(4, unload("a@1")).await;
    match checks_fences {
        true => assert_eq!(stale, Err(TargetError::FencedOff)),
        false => assert_eq!(stale, Ok(())),
    }
    assert_eq!(engine.adapters().len(), usize::from(checks_fences));
    assert_eq!(give(6, EngineOrder::Raise).await, Ok(()));
    for name in ["a@1", "b@1", "c@1", "d@1"] {
        assert_eq!(give(6, load(name)).await, Ok(()));
    }
    let full = give(6, load("e@1")).await;
    assert_eq!(
        full,
        Err(TargetError::OrderFailed("no_adapter_slot".into()))
    );
    engine.set_faults(EngineFaults {
        fail_loads: 1,
        hang_loads: 1,
        ..EngineFaults::default()
    });
    assert_eq!(give(6, unload("a@1")).await, Ok(()));
    assert_eq!(give(6, load("e@1")).await, Err(TargetError::TimedOut(400)));
    engine.restart();
    let report = loop {
        let report = client.report(at).await.unwrap();
        if report.boot == 2 {
            break report;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert!(report.adapters.is_empty());
    assert_eq!(give(6, load("e@1")).await, Ok(()));
    let ready = engine.adapters();
    assert_eq!(ready, vec![model("e@1")]);
    let state = AdapterState::Ready;
    assert_ne!(state, AdapterState::Loading);
}

/// What the check of an answer makes of each fault.
#[rstest]
#[case::sound(EngineFaults::default(), None)]
#[case::doubled(EngineFaults { doubled_event: 1, ..EngineFaults::default() }, None)]
#[case::skipped(EngineFaults { skipped_event: 1, ..EngineFaults::default() }, Some(TargetError::Gap { wanted: 1, found: 2 }))]
#[case::swapped(EngineFaults { swapped_events: 1, ..EngineFaults::default() }, Some(TargetError::Gap { wanted: 1, found: 2 }))]
#[case::cut(EngineFaults { cut_short: 1, ..EngineFaults::default() }, Some(TargetError::CutShort("no end mark".into())))]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_checked(
    #[case] faults: EngineFaults,
    #[case] wanted: Option<TargetError>,
) {
    let engine = engine(true).await;
    let (client, at) = (TargetClient::new(), engine.address());
    client
        .order(at, &order(9, load("a@1")), TIMEOUT)
        .await
        .unwrap();
    engine.set_faults(faults);
    let answer = client.send(completion(at, "r1", "a@1")).await.unwrap();
    let mut check = AnswerCheck::new("r1", &model("a@1"), 0);
    let found = follow(SseReader::new(answer.body), &mut check).await.err();
    assert_eq!(found, wanted);
    // Whatever was lost on the way is still at the engine.
    let from = check.next_index();
    if found.is_some() {
        let rest = client.resume(at, "r1", from).await.unwrap();
        follow(SseReader::new(rest.body), &mut check).await.unwrap();
    }
    assert_eq!(check.next_index(), 6);
}

async fn follow(
    mut reader: SseReader,
    check: &mut AnswerCheck,
) -> Result<(), TargetError> {
    while let Some(event) = reader.next().await? {
        if check.event(event)? == CheckedEvent::End {
            return Ok(());
        }
    }
    Err(TargetError::CutShort("no end mark".into()))
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_refusals_say_that_nothing_ran() {
    let engine = engine(true).await;
    let (client, at) = (TargetClient::new(), engine.address());
    let absent = client
        .send(completion(at, "r1", "a@1"))
        .await
        .err()
        .unwrap();
    assert!(absent.surely_not_run() && absent.to_string().contains("adapter_not_loaded"));
    client
        .order(at, &order(9, load("a@1")), TIMEOUT)
        .await
        .unwrap();
    engine.set_faults(EngineFaults {
        refuse: 1,
        foreign_adapter: 1,
        ..EngineFaults::default()
    });
    let busy = client
        .send(completion(at, "r2", "a@1"))
        .await
        .err()
        .unwrap();
    assert!(busy.surely_not_run(), "{busy}");
    let foreign = client
        .send(completion(at, "r3", "a@1"))
        .await
        .err()
        .unwrap();
    assert!(matches!(foreign, TargetError::ForeignAnswer { .. }) && !foreign.surely_not_run());
    let mut old = completion(at, "r4", "a@1");
    old.fence = 3;
    assert!(client.send(old).await.err().unwrap().surely_not_run());
    let record = engine.record();
    let ran: Vec<&str> = record
        .executions
        .iter()
        .map(|e| e.request_id.as_str())
        .collect();
    assert_eq!(ran, ["r3"]);
    assert_eq!(record.fenced_off, 1);
}

/// A plain target's failures, and what they leave open.
#[rstest]
#[case::sound(PlainFaults::default(), true, false, 1)]
#[case::refuses(PlainFaults { refuse: 1, ..PlainFaults::default() }, false, true, 0)]
#[case::reply_lost(PlainFaults { lose_replies: 1, ..PlainFaults::default() }, false, false, 1)]
#[case::foreign(PlainFaults { foreign: 1, ..PlainFaults::default() }, false, false, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn plain_service(
    #[case] faults: PlainFaults,
    #[case] answers: bool,
    #[case] surely_not_run: bool,
    #[case] runs: u32,
) {
    let target = PlainStandin::start(any_port()).await.unwrap();
    target.set_faults(faults);
    let mut call = completion(target.address(), "r1", "a@1");
    call.model = None;
    call.key = "k1".into();
    let answer = TargetClient::new().send(call).await;
    assert_eq!(answer.is_ok(), answers);
    if let Err(error) = answer {
        assert_eq!(error.surely_not_run(), surely_not_run, "{error}");
    }
    assert_eq!(target.record().runs.get("k1").copied().unwrap_or(0), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn fault_proxy_refuses_stalls_and_cuts() {
    let target = PlainStandin::start(any_port()).await.unwrap();
    let proxy = FaultProxy::start(target.address()).await.unwrap();
    let client = TargetClient::new();
    let call = || {
        let mut call = completion(proxy.address(), "r", "a@1");
        call.model = None;
        call
    };
    assert!(client.send(call()).await.is_ok());
    proxy.cut();
    proxy.set(ProxyFault {
        refuse: true,
        ..ProxyFault::default()
    });
    assert!(client.send(call()).await.is_err());
    proxy.set(ProxyFault {
        stall_answers: true,
        ..ProxyFault::default()
    });
    let stalled = tokio::time::timeout(TIMEOUT, client.send(call())).await;
    assert!(stalled.is_err(), "a stalled answer does not come");
    proxy.set(ProxyFault::default());
    assert!(client.send(call()).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_roles_cache_events_and_kv() {
    let engine = engine(true).await;
    let (client, at) = (TargetClient::new(), engine.address());
    let orders = [
        load("a@1"),
        EngineOrder::SetRole {
            role: "prefill".into(),
        },
        EngineOrder::LoadModel {
            base_model: "other".into(),
        },
    ];
    for what in orders {
        client.order(at, &order(9, what), TIMEOUT).await.unwrap();
    }
    let report = loop {
        let report = client.report(at).await.unwrap();
        if report.role == "prefill" {
            break report;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert_eq!((report.base_model.as_str(), report.fence), ("other", 9));
    let answer = client.send(completion(at, "r1", "a@1")).await.unwrap();
    answer.whole().await.unwrap();
    let reader = CallerClient::new(Vec::new());
    let get = async |path: &str| -> serde_json::Value {
        serde_json::from_slice(&reader.get(at, path).await.unwrap()).unwrap()
    };
    let events = get("/engine/cache-events?after=0").await;
    let last = events.as_array().unwrap().last().unwrap().clone();
    assert_eq!(last["stored"], true);
    let none = get(&format!("/engine/cache-events?after={}", last["sequence"])).await;
    assert_eq!(none, serde_json::json!([]));
    let export = get("/engine/kv/r1").await;
    assert_eq!(
        (&export["tokens"], &export["model"]),
        (&6.into(), &"a@1".into())
    );
}

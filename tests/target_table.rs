//! The table of targets: usage reports to holders, adapter placement, staleness bounds, restarts of targets.

use {
    coveproxy::{
        clock::Instant,
        connection::{
            datagram::{EngineLoad, PaceReport, Placement, PlacementState, Usage},
            targets::{
                AdapterRequest, ControlRequest, FleetView, ReplicaFreshness, RequestTokens,
                ServiceEngines, StalenessBounds, TableFreshness, TargetTable, TargetTableSettings,
                TargetView,
            },
        },
        formats::{
            HeldAdapter, HeldModel, SoftwareVersion, TargetRecord, TargetStart, TargetState,
        },
        request::{direct::Policy, origins::RequiredSoftware},
    },
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const ENGINE: &str = "engine-1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn holder(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

fn view(holder: Option<SocketAddr>) -> Arc<FleetView> {
    view_of([(ENGINE.to_string(), holder)])
}

fn view_of(engines: impl IntoIterator<Item = (String, Option<SocketAddr>)>) -> Arc<FleetView> {
    let targets = engines.into_iter().map(|(id, holder)| {
        let target = target(&id, holder);
        (id, Arc::new(target))
    });
    Arc::new(FleetView {
        targets: targets.collect(),
        hosts: 3,
        ..FleetView::default()
    })
}

fn target(
    id: &str,
    holder: Option<SocketAddr>,
) -> TargetView {
    let record = TargetRecord {
        id: id.to_string(),
        started: None,
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
    TargetView {
        record: Arc::new(record),
        holder,
        usable_until: None,
    }
}

struct World {
    table: TargetTable,
    sent: flume::Receiver<ControlRequest>,
    now: Instant,
}

impl World {
    fn new(holder: Option<SocketAddr>) -> Self {
        let (control, sent) = flume::unbounded();
        let settings = TargetTableSettings {
            budget_window: ms(10_000),
            budget_ratio: 0.2,
            budget_extra: 50.0,
            first_start: false,
            policy: Policy::default(),
            bounds: StalenessBounds {
                declared: ms(3_000),
                revoke: Duration::from_secs(5),
                targets: ms(2_000),
                version: ms(5_000),
            },
        };
        let mut table = TargetTable::new(settings, control);
        table.set_view(view(holder));
        Self {
            table,
            sent,
            now: Instant::now(),
        }
    }

    fn start_request(&mut self) {
        let tokens = RequestTokens {
            all: 100,
            prompt: 80,
        };
        self.table.start_request(ENGINE, Some("m0/a1"), tokens);
    }

    /// Returns the usage reports sent to holders within some report intervals.
    fn reports(
        &mut self,
        periods: usize,
    ) -> Vec<(SocketAddr, Usage)> {
        for _ in 0..periods {
            self.now += ms(150);
            self.table.report_usage(self.now);
        }
        let usage = |request| match request {
            ControlRequest::ReportUsage { holder, usage } => Some((holder, usage)),
            _ => None,
        };
        self.sent.drain().filter_map(usage).collect()
    }
}

/// Guards against a new holder that evicts adapters in use because it knows of no requests.
#[rstest]
#[case::first_holder(None)]
#[case::another_holder(Some(holder(1)))]
fn a_new_holder_is_told_of_requests_that_run_already(#[case] before: Option<SocketAddr>) {
    let mut world = World::new(before);
    world.start_request();
    world.reports(3);
    world.table.set_view(view(Some(holder(2))));
    let reports = world.reports(1);
    let (to, usage) = &reports[0];
    assert_eq!(*to, holder(2));
    assert_eq!(usage.adapters[0].adapter, "m0/a1");
    assert_eq!(usage.adapters[0].in_flight, 1);
}

/// Guards against a holder that restarts at the same address, which looks unchanged, and knows of no requests.
#[test]
fn a_holder_is_told_again_while_requests_run() {
    let mut world = World::new(Some(holder(1)));
    world.start_request();
    world.reports(3);
    let reports = world.reports(20);
    assert!((2..=4).contains(&reports.len()), "{} in 3 s", reports.len());
    assert!(
        reports
            .iter()
            .all(|(_, usage)| usage.adapters[0].in_flight == 1)
    );
}

#[test]
fn a_holder_is_told_nothing_while_nothing_runs() {
    let mut world = World::new(Some(holder(1)));
    assert!(world.reports(20).is_empty());
}

/// Returns the numbers of the engines preferred for an adapter, on a site of `hosts` hosts where the `held` engines
/// have a holder.
fn preferred_engines(
    hosts: usize,
    held: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut world = World::new(None);
    let engines = (0..12).map(|at| (format!("e{at:02}"), held(at).then(|| holder(1))));
    let mut view = view_of(engines);
    Arc::get_mut(&mut view).unwrap().hosts = hosts;
    world.table.set_view(view);
    let order = world.table.placement_order(
        ServiceEngines {
            service: "models",
            software: RequiredSoftware::Any,
        },
        "m0/a1",
        3,
        Instant::now(),
    );
    let number = |id: &Arc<str>| id[1..].parse().unwrap();
    order.iter().map(number).collect()
}

#[test]
fn adapters_settle_where_somebody_can_load_them() {
    let order = preferred_engines(3, |at| at % 3 == 0);
    assert_eq!(order.len(), 3);
    assert!(order.iter().all(|at| at % 3 == 0), "{order:?}");
}

#[rstest]
#[case::without_any_holder(3, false)]
#[case::on_a_large_site(100, false)]
#[case::with_all_holders(3, true)]
fn preferred_engines_do_not_depend_on_holders(
    #[case] hosts: usize,
    #[case] held: bool,
) {
    let order = preferred_engines(hosts, |at| held || hosts > 3 && at % 3 == 0);
    assert_eq!(order, preferred_engines(3, |_| true));
}

#[test]
fn nothing_settles_on_an_engine_without_a_base_model() {
    let mut world = World::new(None);
    let engines = (0..12).map(|at| {
        let mut view = target(&format!("e{at:02}"), Some(holder(1)));
        let record = Arc::get_mut(&mut view.record).unwrap();
        record.is_empty = at % 3 != 0;
        (record.id.clone(), Arc::new(view))
    });
    let view = FleetView {
        targets: engines.collect(),
        hosts: 3,
        ..FleetView::default()
    };
    world.table.set_view(Arc::new(view));
    let order = world.table.placement_order(
        ServiceEngines {
            service: "models",
            software: RequiredSoftware::Any,
        },
        "m0/a1",
        3,
        Instant::now(),
    );
    let full = world.table.engines_of("models");
    assert_eq!(full.len(), 4);
    assert!(order.len() == 3 && order.iter().all(|engine| full.contains(engine)));
}

/// Guards against late reports: other hosts would choose the same engine, on a small site too.
#[test]
fn a_send_is_told_at_once() {
    let mut world = World::new(Some(holder(1)));
    world.start_request();
    let reports = world.reports(0);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].1.unread_tokens, 80);
}

/// Guards against requests that arrive after the staleness bound; during an outage of the store, sends go on.
#[rstest]
#[case::young(Some(1_000), false, true)]
#[case::near_the_bound(Some(1_900), false, false)]
#[case::past_the_bound(Some(9_000), false, false)]
#[case::past_it_and_the_store_is_out(Some(9_000), true, true)]
#[case::nothing_is_known_yet(None, false, true)]
fn sends_need_a_list_of_targets_that_is_young_enough(
    #[case] age_ms: Option<u64>,
    #[case] store_failed: bool,
    #[case] allowed: bool,
) {
    let mut world = World::new(None);
    let targets = TableFreshness {
        confirmed_at: age_ms.map(|_| world.now),
        store_failed,
    };
    world.table.set_freshness(ReplicaFreshness {
        targets,
        ..ReplicaFreshness::default()
    });
    let now = world.now + ms(age_ms.unwrap_or(0));
    assert_eq!(world.table.can_send(now), allowed);
    assert!(
        world.table.can_route(now),
        "the configuration has a bound of its own"
    );
}

#[test]
fn ages_are_told_of_once_a_second_if_they_come_near_their_bounds() {
    let mut world = World::new(None);
    let confirmed_at = world.now;
    let targets = TableFreshness {
        confirmed_at: Some(confirmed_at),
        store_failed: false,
    };
    world.table.set_freshness(ReplicaFreshness {
        targets,
        ..ReplicaFreshness::default()
    });
    world.table.record_send_staleness(confirmed_at + ms(400));
    assert_eq!(
        world.table.take_max_staleness(confirmed_at + ms(1_100)),
        None
    );
    world.table.record_send_staleness(confirmed_at + ms(1_500));
    world.table.record_send_staleness(confirmed_at + ms(1_300));
    let largest = world
        .table
        .take_max_staleness(confirmed_at + ms(2_200))
        .unwrap();
    assert_eq!(largest.targets, ms(1_500));
    assert_eq!(
        world.table.take_max_staleness(confirmed_at + ms(3_400)),
        None,
        "reported once"
    );
}

/// Guards against failures, loads and adapters that are carried over to a target's new incarnation.
#[test]
fn a_target_that_starts_anew_is_known_as_if_just_listed() {
    let mut world = World::new(Some(holder(1)));
    let started = |at: u64, adapters: &[&str]| {
        let known = target(ENGINE, Some(holder(1)));
        let adapters = adapters.iter().map(|name| HeldAdapter {
            name: name.to_string(),
            version: 1,
        });
        let record = TargetRecord {
            started: Some(TargetStart::from_unix_ms(at)),
            models: vec![HeldModel {
                name: "m0".to_string(),
                adapters: adapters.collect(),
            }],
            ..(*known.record).clone()
        };
        let view = TargetView {
            record: Arc::new(record),
            ..known
        };
        Arc::new(FleetView {
            targets: [(ENGINE.to_string(), Arc::new(view))].into(),
            hosts: 3,
            ..FleetView::default()
        })
    };
    world.table.set_view(started(1, &["a1", "a2"]));
    world.start_request();
    let link = world.table.links.get_mut(ENGINE).unwrap();
    link.health.on_failure(world.now);
    link.others_in_flight = 5;
    world.table.set_view(started(1, &["a1", "a2"]));
    let link = &world.table.links[ENGINE];
    assert_eq!(link.running(), 6, "the same start");
    assert!(world.table.adapters.get("m0/a2", ENGINE).is_some());
    world.table.set_view(started(2, &["a1"]));
    let link = &world.table.links[ENGINE];
    assert_eq!(link.running(), 0);
    let backoff = world.table.remaining_backoff("models", ENGINE, world.now);
    assert_eq!(backoff, Duration::ZERO);
    assert!(world.table.adapters.get("m0/a1", ENGINE).is_some());
    assert!(world.table.adapters.get("m0/a2", ENGINE).is_none());
    let reports = world.reports(1);
    let (_, usage) = reports.last().expect("a report that nothing runs");
    assert_eq!((usage.in_flight, usage.adapters.len()), (0, 0));
}

/// Guards against an old copy that is forgotten once a newer version is requested: requests would wait for the new one
/// although the old one could serve them.
#[rstest]
#[case::not_answered_yet(None, Some(1))]
#[case::no_place(Some((2, PlacementState::Full)), Some(1))]
#[case::on_its_way(Some((2, PlacementState::Coming)), None)]
#[case::gone(Some((0, PlacementState::Absent)), None)]
#[case::there(Some((2, PlacementState::Ready)), Some(2))]
fn an_old_copy_is_known_until_its_engine_replaces_it(
    #[case] answer: Option<(u64, PlacementState)>,
    #[case] held: Option<u64>,
) {
    let mut world = World::new(Some(holder(1)));
    let placement = |(version, state): (u64, PlacementState)| Placement {
        target: ENGINE.to_string(),
        adapter: "m0/a1".to_string(),
        version,
        state: state as i32,
        ..Placement::default()
    };
    let old = placement((1, PlacementState::Ready));
    world.table.on_placement(&old, world.now);
    let request = AdapterRequest {
        adapter: "m0/a1",
        target: ENGINE,
        version: 2,
        spare: false,
        max_load_time: ms(500),
    };
    assert!(world.table.request_adapter(&request, world.now));
    if let Some(answer) = answer {
        world.table.on_placement(&placement(answer), world.now);
    }
    let copy = world.table.adapters.get("m0/a1", ENGINE).unwrap();
    assert_eq!(copy.held(), held);
}

/// Guards against targets that are grouped under an old service: groups are rebuilt only when a target has changed.
#[test]
fn targets_that_change_are_found_under_their_service() {
    let mut world = World::new(None);
    let ids = |table: &TargetTable, service: &str| -> Vec<String> {
        let targets = table.targets_of(service).iter();
        targets.map(|target| target.id.to_string()).collect()
    };
    world
        .table
        .set_view(view_of(["a", "b"].map(|id| (id.to_string(), None))));
    assert_eq!(ids(&world.table, "models"), ["a", "b"]);
    let mut moved = target("b", None);
    Arc::get_mut(&mut moved.record).unwrap().service = "others".to_string();
    let targets = [target("c", None), moved].map(|view| (view.record.id.clone(), Arc::new(view)));
    let view = FleetView {
        targets: targets.into(),
        hosts: 3,
        ..FleetView::default()
    };
    world.table.set_view(Arc::new(view));
    assert_eq!(ids(&world.table, "models"), ["c"]);
    assert_eq!(ids(&world.table, "others"), ["b"]);
}

/// Guards against pace that decides on sites whose engines are alike, or that switches back and forth with one estimate.
#[rstest]
#[case::few_fast(100, 1, false)]
#[case::a_quarter_fast(100, 3, true)]
#[case::small_site(5, 3, false)]
fn engines_are_of_unequal_speed_if_enough_are_fast(
    #[case] hosts: usize,
    #[case] fast: usize,
    #[case] expected: bool,
) {
    let mut world = World::new(None);
    let mut view = view_of((0..12).map(|at| (format!("e{at:02}"), None)));
    Arc::make_mut(&mut view).hosts = hosts;
    world.table.set_view(view);
    for at in 0..fast {
        report_pace(&mut world, at, 10_000);
    }
    world.table.update_unequal_services();
    assert_eq!(world.table.has_unequal_engines("models"), expected);
    if expected {
        report_pace(&mut world, 0, 66_000);
        world.table.update_unequal_services();
        assert!(world.table.has_unequal_engines("models"), "one fewer");
        report_pace(&mut world, 1, 66_000);
        world.table.update_unequal_services();
        assert!(!world.table.has_unequal_engines("models"), "one left");
    }
}

/// Reports the prefill time of 1,000 tokens at an engine.
fn report_pace(
    world: &mut World,
    at: usize,
    prefill_us: u32,
) {
    let load = EngineLoad {
        target: format!("e{at:02}"),
        pace: Some(PaceReport {
            prefill_us,
            samples: 8,
        }),
        ..EngineLoad::default()
    };
    world.table.on_engine_load(&load, world.now);
}

//! The decisions of the control state, one at a time.

use {
    coveproxy::{
        clock::Instant,
        connection::{
            platform::{HostState, ListedHost},
            target::{AdapterReport, AdapterState, EngineOrder, EngineReport},
        },
        errors::TargetError,
        formats::StoreVersion,
        process::{
            loads::{LoadDecision, LoadQueue, LoadRequest, LoadRequestId},
            membership::{Heartbeat, ListingChange, Liveness, Membership, MembershipAction, Rumor},
            ownership::{
                OwnerChange, OwnerRow, Ownership, OwnershipAction, SessionLease, SessionRow, assign,
            },
            settings::{HostSettings, MembershipSettings},
            target::{Admission, TargetAction, TargetHealth, TargetState, Ticket, TicketId},
        },
        request::{RateLimits, RefusalCode, RetryBudget, engine_candidates, plain_candidates},
        version::{
            AdapterVersion, Change, EngineSpec, KindSpec, SiteConfig, TargetRole, TargetSpec,
        },
    },
    rstest::rstest,
    std::{path::Path, time::Duration},
};

const PIN_QUIET: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model(name: &str) -> AdapterVersion {
    format!("{name}@1").parse().unwrap()
}

fn engine_spec(
    adapter_slots: usize,
    batch_slots: usize,
) -> TargetSpec {
    TargetSpec {
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "a".into(),
        role: TargetRole::Engine(EngineSpec {
            base_model: "base".into(),
            adapter_slots,
            batch_slots,
        }),
        checks_fences: true,
        leaving: false,
    }
}

fn ticket(
    id: u64,
    name: &str,
    now: Instant,
) -> Ticket {
    Ticket {
        id: TicketId(id),
        model: Some(model(name)),
        priority: 5,
        worth: 1.0,
        arrived: now,
        deadline: now + ms(10_000),
        may_load: true,
    }
}

fn report(
    fence: u64,
    adapters: &[(&str, u32)],
) -> EngineReport {
    let adapter = |(name, running): &(&str, u32)| AdapterReport {
        model: model(name),
        state: AdapterState::Ready,
        running: *running,
    };
    EngineReport {
        boot: 1,
        age_ms: 0,
        base_model: "base".into(),
        role: "mixed".into(),
        running: adapters.iter().map(|(_, running)| running).sum(),
        waiting: 0,
        fence,
        adapters: adapters.iter().map(adapter).collect(),
    }
}

/// An engine that its owner has known for longer than foreign requests may last.
fn known_engine(
    adapters: &[(&str, u32)],
    now: Instant,
) -> TargetState {
    let mut state = TargetState::new(engine_spec(2, 4), 7, 1, PIN_QUIET, 4.0, now - ms(5_000));
    state.on_report(&report(7, adapters), now, now);
    state
}

fn runs(actions: &[TargetAction]) -> Vec<u64> {
    let run = |action: &TargetAction| match action {
        TargetAction::Answer {
            ticket,
            admission: Admission::Run { .. },
        } => Some(ticket.0),
        _ => None,
    };
    actions.iter().filter_map(run).collect()
}

fn refused(actions: &[TargetAction]) -> Vec<RefusalCode> {
    let code = |action: &TargetAction| match action {
        TargetAction::Answer {
            admission: Admission::Refused(refusal),
            ..
        } => Some(refusal.code),
        _ => None,
    };
    actions.iter().filter_map(code).collect()
}

fn orders(actions: &[TargetAction]) -> Vec<EngineOrder> {
    let order = |action: &TargetAction| match action {
        TargetAction::Order { order, .. } => Some(order.clone()),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

fn asks(actions: &[TargetAction]) -> usize {
    let asks = actions.iter();
    asks.filter(|action| matches!(action, TargetAction::AskLoad { .. }))
        .count()
}

#[test]
fn cold_requests_share_one_load() {
    let now = Instant::now();
    let mut state = known_engine(&[], now);
    assert_eq!(asks(&state.on_arrival(ticket(1, "a", now), now)), 1);
    assert_eq!(asks(&state.on_arrival(ticket(2, "a", now), now)), 0);
    let load = EngineOrder::LoadAdapter { model: model("a") };
    assert_eq!(
        orders(&state.on_grant(&model("a"), now)),
        std::slice::from_ref(&load)
    );
    let actions = state.on_order_end(&load, &Ok(()), now + ms(300));
    assert_eq!(runs(&actions), [1, 2]);
    let waited = actions.iter().any(|action| {
        matches!(action, TargetAction::Answer { admission: Admission::Run { load_wait, .. }, .. }
            if *load_wait == ms(300))
    });
    assert!(waited, "{actions:?}");
}

#[test]
fn nothing_is_dropped_in_use() {
    let now = Instant::now();
    let mut state = known_engine(&[("a", 0), ("b", 0)], now);
    assert_eq!(runs(&state.on_arrival(ticket(1, "a", now), now)), [1]);
    assert_eq!(runs(&state.on_arrival(ticket(2, "b", now), now)), [2]);
    // Nothing is idle, so no permission is asked for that could not be used.
    assert_eq!(asks(&state.on_arrival(ticket(3, "c", now), now)), 0);
    let actions = state.on_end(TicketId(1), true, now);
    assert_eq!(asks(&actions), 1);
    let unload = EngineOrder::UnloadAdapter { model: model("a") };
    assert_eq!(orders(&state.on_grant(&model("c"), now)), [unload]);
    // A request that comes in the same instant waits for a load of its own.
    assert!(runs(&state.on_arrival(ticket(4, "a", now), now)).is_empty());
}

#[test]
fn a_lost_end_keeps_the_pin_until_the_engine_is_seen_idle() {
    let now = Instant::now();
    let mut state = known_engine(&[("a", 0), ("b", 0)], now);
    state.on_arrival(ticket(1, "a", now), now);
    state.on_arrival(ticket(2, "b", now), now);
    state.on_arrival(ticket(3, "c", now), now);
    assert_eq!(asks(&state.on_end(TicketId(1), false, now)), 0);
    let soon = now + ms(100);
    let (_, actions) = state.on_report(&report(7, &[("a", 0), ("b", 1)]), soon, soon);
    assert_eq!(
        asks(&actions),
        0,
        "a report from before it could arrive proves nothing"
    );
    let later = now + ms(900);
    let (_, actions) = state.on_report(&report(7, &[("a", 1), ("b", 1)]), later, later);
    assert_eq!(asks(&actions), 0);
    let (_, actions) = state.on_report(&report(7, &[("a", 0), ("b", 1)]), later + ms(1), later);
    assert_eq!(asks(&actions), 1);
}

#[test]
fn a_new_owner_drops_nothing_that_it_does_not_know() {
    let now = Instant::now();
    let mut state = TargetState::new(engine_spec(2, 4), 7, 1, PIN_QUIET, 4.0, now);
    state.on_arrival(ticket(1, "c", now), now);
    let (_, actions) = state.on_report(&report(7, &[("a", 0), ("b", 0)]), now, now);
    assert_eq!(
        asks(&actions),
        0,
        "a former owner's request may still arrive"
    );
    // What is there may be used at once.
    assert_eq!(runs(&state.on_arrival(ticket(2, "a", now), now)), [2]);
    let quiet = now + PIN_QUIET;
    let (_, actions) = state.on_report(&report(7, &[("a", 1), ("b", 0)]), quiet, quiet);
    assert_eq!(asks(&actions), 1);
    let unload = EngineOrder::UnloadAdapter { model: model("b") };
    assert_eq!(orders(&state.on_grant(&model("c"), quiet)), [unload]);
}

#[test]
fn nothing_runs_before_the_fence_is_raised() {
    let now = Instant::now();
    let mut state = TargetState::new(engine_spec(2, 4), 7, 1, PIN_QUIET, 4.0, now);
    state.on_arrival(ticket(1, "a", now), now);
    let (_, actions) = state.on_report(&report(6, &[("a", 0)]), now, now);
    assert!(runs(&actions).is_empty());
    assert_eq!(orders(&actions), [EngineOrder::Raise]);
    let raised = state.on_order_end(&EngineOrder::Raise, &Ok(()), now);
    assert_eq!(runs(&raised), [1]);
}

/// What those who wait for a load hear when it ends badly, and when.
#[rstest]
#[case(TargetError::OrderFailed("load_failed".into()), vec![RefusalCode::LoadFailed])]
#[case(TargetError::NotReached("gone".into()), vec![RefusalCode::LoadFailed])]
#[case(TargetError::TimedOut(1), vec![RefusalCode::LoadFailed])]
#[case(TargetError::CutShort("reply".into()), vec![])]
fn failed_loads(
    #[case] error: TargetError,
    #[case] wanted: Vec<RefusalCode>,
) {
    let now = Instant::now();
    let mut state = known_engine(&[], now);
    state.on_arrival(ticket(1, "a", now), now);
    state.on_grant(&model("a"), now);
    let load = EngineOrder::LoadAdapter { model: model("a") };
    let actions = state.on_order_end(&load, &Err(error), now);
    assert_eq!(refused(&actions), wanted);
    let later = now + ms(50);
    let (_, actions) = state.on_report(&report(7, &[("a", 0)]), later, later);
    let settled = if wanted.is_empty() { vec![1] } else { vec![] };
    assert_eq!(runs(&actions), settled);
}

#[test]
fn the_worthiest_runs_first_and_the_least_is_shed() {
    let now = Instant::now();
    let mut state = TargetState::new(engine_spec(2, 1), 7, 1, PIN_QUIET, 2.0, now - ms(5_000));
    state.on_report(&report(7, &[("a", 0)]), now, now);
    assert_eq!(runs(&state.on_arrival(ticket(1, "a", now), now)), [1]);
    let mut batch = ticket(2, "a", now);
    batch.priority = 1;
    state.on_arrival(batch, now);
    state.on_arrival(ticket(3, "a", now), now);
    let actions = state.on_arrival(ticket(4, "a", now), now);
    assert_eq!(refused(&actions), [RefusalCode::Overloaded]);
    assert!(matches!(
        actions[0],
        TargetAction::Answer {
            ticket: TicketId(2),
            ..
        }
    ));
    assert_eq!(runs(&state.on_end(TicketId(1), true, now)), [3]);
    let late = state.on_tick(now + ms(10_001));
    assert_eq!(refused(&late), [RefusalCode::DeadlineInQueue]);
}

#[test]
fn overnight_work_ages_past_live_work() {
    let now = Instant::now();
    let mut state = TargetState::new(engine_spec(2, 1), 7, 1, PIN_QUIET, 8.0, now - ms(5_000));
    state.on_report(&report(7, &[("a", 0)]), now, now);
    state.on_arrival(ticket(1, "a", now), now);
    let mut batch = ticket(2, "a", now);
    batch.priority = 4;
    batch.deadline = now + Duration::from_secs(600);
    state.on_arrival(batch, now);
    let later = now + Duration::from_secs(90);
    let mut live = ticket(3, "a", later);
    live.deadline = later + ms(10_000);
    state.on_arrival(live, later);
    assert_eq!(runs(&state.on_end(TicketId(1), true, later)), [2]);
}

#[test]
fn a_restarted_engine_is_empty() {
    let now = Instant::now();
    let mut state = known_engine(&[("a", 0)], now);
    let mut empty = report(0, &[]);
    empty.boot = 2;
    let (restarted, _) = state.on_report(&empty, now + ms(1), now);
    assert!(restarted && state.slots().is_empty());
}

#[test]
fn a_leaving_target_takes_no_new_work() {
    let now = Instant::now();
    let mut state = known_engine(&[("a", 0)], now);
    state.on_arrival(ticket(1, "a", now), now);
    let mut leaving = engine_spec(2, 4);
    leaving.leaving = true;
    state.set_spec(leaving);
    let actions = state.on_arrival(ticket(2, "a", now), now);
    assert_eq!(refused(&actions), [RefusalCode::TargetLeaving]);
    assert_eq!(state.running(), 1);
}

#[test]
fn a_circuit_opens_and_closes() {
    let now = Instant::now();
    let mut health = TargetHealth::default();
    (0..2).for_each(|_| health.on_failure(now));
    assert!(!health.is_open(now));
    health.on_failure(now);
    assert!(health.is_open(now) && !health.is_open(now + ms(250)));
    health.on_failure(now);
    assert!(health.is_open(now + ms(250)), "the pause doubles");
    health.on_success();
    assert!(!health.is_open(now));
}

#[test]
fn loads_go_one_at_a_time_by_weight() {
    let now = Instant::now();
    let mut queue = LoadQueue::new(1, ms(5_000));
    let ask = |host: &str, score| LoadRequest {
        host: host.into(),
        target: "t".into(),
        model: model("a"),
        score,
    };
    for (id, host, score) in [(1, "x", 1.0), (2, "y", 9.0), (3, "z", 5.0)] {
        queue.on_request(LoadRequestId(id), ask(host, score), now);
    }
    assert_eq!(queue.decide(now), [LoadDecision::Granted(LoadRequestId(2))]);
    assert!(queue.decide(now).is_empty());
    queue.on_release(LoadRequestId(2));
    assert_eq!(queue.decide(now), [LoadDecision::Granted(LoadRequestId(3))]);
    assert_eq!(
        queue.decide(now + ms(600)),
        [LoadDecision::Deferred(LoadRequestId(1))]
    );
    queue.on_request(LoadRequestId(4), ask("x", 1.0), now + ms(600));
    queue.on_host_gone("z");
    assert_eq!(
        queue.decide(now + ms(600)),
        [LoadDecision::Granted(LoadRequestId(4))]
    );
    queue.on_request(LoadRequestId(5), ask("y", 1.0), now + ms(6_000));
    let void = queue.decide(now + ms(6_000));
    assert_eq!(
        void,
        [LoadDecision::Granted(LoadRequestId(5))],
        "a lost permission ends"
    );
}

fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        probe: ms(100),
        probe_timeout: ms(100),
        suspect: ms(300),
    }
}

fn listed(name: &str) -> ListedHost {
    let address = "127.0.0.1:9".parse().unwrap();
    ListedHost {
        name: name.into(),
        hall: "a".into(),
        caller_address: address,
        peer_address: address,
        admin_address: address,
        state: HostState::Live,
    }
}

fn heartbeat(
    host: &str,
    incarnation: u64,
) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        incarnation,
        session: incarnation,
        leaving: false,
        table_reachable: true,
        config_revision: 1,
    }
}

/// Host `a` that has heard of the others.
fn members(
    others: &[&str],
    now: Instant,
) -> Membership {
    let mut membership = Membership::new("a", 10, membership_settings());
    let hosts = others.iter().chain(&["a"]).map(|name| listed(name));
    membership.on_host_list(hosts.collect(), now);
    for other in others {
        membership.on_heartbeat(&heartbeat(other, 10), now);
    }
    membership.take_changes();
    membership
}

#[test]
fn a_silent_host_is_asked_for_suspected_and_buried() {
    let now = Instant::now();
    let mut membership = members(&["b", "c", "d"], now);
    let actions = membership.on_probe_failed("b", now);
    assert_eq!(actions.len(), 2, "{actions:?}");
    assert!(matches!(actions[0], MembershipAction::ProbeVia { .. }));
    membership.on_indirect_probe_failed("b", now);
    assert_eq!(membership.members()["b"].liveness, Liveness::Alive);
    membership.on_indirect_probe_failed("b", now);
    assert_eq!(membership.members()["b"].liveness, Liveness::Suspect);
    membership.on_tick(now + ms(200));
    assert!(!membership.is_gone("b"));
    membership.on_tick(now + ms(301));
    assert!(membership.is_gone("b") && membership.is_confirmed_dead("b"));
    assert_eq!(membership.eligible(), ["a", "c", "d"]);
    membership.on_heartbeat(&heartbeat("b", 11), now + ms(400));
    assert!(!membership.is_gone("b"), "a host that speaks lives");
}

#[test]
fn a_minority_buries_nobody_for_sure() {
    let now = Instant::now();
    let mut membership = members(&["b", "c", "d"], now);
    for host in ["b", "c"] {
        membership.on_rumor(
            &Rumor {
                host: host.into(),
                incarnation: 10,
                liveness: Liveness::Dead,
            },
            now,
        );
    }
    assert!(membership.is_gone("b") && !membership.is_confirmed_dead("b"));
    assert!(
        !membership.is_confirmed_dead("nobody"),
        "an unlisted host may be new"
    );
}

#[test]
fn a_slandered_host_refutes_and_an_old_rumor_is_ignored() {
    let now = Instant::now();
    let mut membership = members(&["b"], now);
    let rumor = |host: &str, incarnation, liveness| Rumor {
        host: host.into(),
        incarnation,
        liveness,
    };
    assert!(membership.on_rumor(&rumor("a", 10, Liveness::Dead), now));
    assert_eq!(membership.incarnation(), 11);
    let told = membership.take_rumors();
    assert!(told.contains(&rumor("a", 11, Liveness::Alive)), "{told:?}");
    membership.on_rumor(&rumor("b", 9, Liveness::Dead), now);
    assert!(!membership.is_gone("b"));
}

/// Guards against requests without an owner while the list leaves out a host that runs.
#[test]
fn a_host_that_the_list_leaves_out_is_known_until_it_is_dead() {
    let now = Instant::now();
    let mut membership = members(&["b", "c", "d"], now);
    let without_b = || ["a", "c", "d"].map(listed).to_vec();
    membership.on_host_list(without_b(), now);
    let change = ListingChange {
        host: "b".into(),
        listed_as: None,
    };
    assert_eq!(membership.take_listing_changes(), [change]);
    assert!(!membership.is_gone("b"), "it still answers");
    assert_eq!(membership.eligible(), ["a", "c", "d"]);
    membership.on_host_list(without_b(), now);
    assert_eq!(membership.take_listing_changes(), []);

    membership.on_probe_failed("b", now);
    for _ in 0..2 {
        membership.on_indirect_probe_failed("b", now);
    }
    let dead = now + ms(301);
    membership.on_tick(dead);
    assert!(membership.is_gone("b") && membership.is_confirmed_dead("b"));
    membership.on_tick(dead + Duration::from_secs(59));
    assert!(membership.is_confirmed_dead("b"));
    membership.on_tick(dead + Duration::from_secs(60));
    assert!(!membership.members().contains_key("b"));
    assert!(membership.is_gone("b") && !membership.is_confirmed_dead("b"));
}

/// Guards against a host that keeps its roles while the others, by the same list, give them to others.
#[rstest]
#[case::left_out(None)]
#[case::listed_as_leaving(Some(HostState::Leaving))]
fn a_host_counts_itself_as_the_list_does(#[case] listed_as: Option<HostState>) {
    let now = Instant::now();
    let mut membership = members(&["b", "c"], now);
    let own = listed_as.map(|state| ListedHost {
        state,
        ..listed("a")
    });
    let list = own.into_iter().chain(["b", "c"].map(listed));
    membership.on_host_list(list.collect(), now);
    assert_eq!(membership.eligible(), ["b", "c"]);
    let change = ListingChange {
        host: "a".into(),
        listed_as,
    };
    assert_eq!(membership.take_listing_changes(), [change]);
    membership.on_host_list(["a", "b", "c"].map(listed).to_vec(), now);
    assert_eq!(membership.eligible(), ["a", "b", "c"]);
}

/// Guards against a site without any host for a role, as when the list shows all hosts as leaving.
#[test]
fn hosts_that_run_keep_the_roles_that_no_host_is_listed_for() {
    let now = Instant::now();
    let mut membership = members(&["b", "c"], now);
    let leaves = |name| ListedHost {
        state: HostState::Leaving,
        ..listed(name)
    };
    membership.on_host_list(["a", "b"].map(leaves).to_vec(), now);
    assert_eq!(membership.eligible(), ["a", "b", "c"]);
    membership.on_host_list(vec![leaves("a"), leaves("b"), listed("c")], now);
    assert_eq!(membership.eligible(), ["c"]);
}

/// Guards against hosts that forget one another as the list names nobody.
#[test]
fn a_list_that_names_no_host_changes_nothing() {
    let now = Instant::now();
    let mut membership = members(&["b", "c"], now);
    membership.on_host_list(vec![], now);
    assert_eq!(membership.eligible(), ["a", "b", "c"]);
    assert_eq!(membership.take_listing_changes(), []);
}

#[test]
fn targets_are_shared_evenly_and_few_move() {
    let names: Vec<String> = (0..24).map(|at| format!("t{at}")).collect();
    let targets = || names.iter().map(String::as_str);
    let before = assign(targets(), &["a", "b", "c", "d"]);
    let count = |host: &str| before.values().filter(|owner| **owner == host).count();
    assert!(["a", "b", "c", "d"].iter().all(|host| count(host) == 6));
    let after = assign(targets(), &["a", "b", "c"]);
    let moved = names
        .iter()
        .filter(|name| before[name.as_str()] != after[name.as_str()])
        .count();
    assert!(moved <= 12, "{moved} moved, the least is 6");
}

fn site(
    targets: &[&str],
    checks_fences: bool,
) -> SiteConfig {
    let mut changes = vec![Change::DeclareAdapters {
        base_model: "base".into(),
        versions: vec![model("a")],
    }];
    for name in targets {
        let mut spec = engine_spec(2, 4);
        spec.checks_fences = checks_fences;
        changes.push(Change::SetTarget {
            name: name.to_string(),
            spec,
        });
    }
    SiteConfig::default().with(&changes).unwrap()
}

fn row(
    host: &str,
    session: u64,
) -> OwnerRow {
    OwnerRow {
        host: host.into(),
        session,
        era: 0,
    }
}

/// Who may take a dead host's target, and when.
#[rstest]
#[case::fenced(true, false, true)]
#[case::unfenced(false, false, false)]
#[case::unfenced_ended(false, true, true)]
fn takeover(
    #[case] checks_fences: bool,
    #[case] ended: bool,
    #[case] at_once: bool,
) {
    let now = Instant::now();
    let wait = ms(2_000);
    let mut membership = members(&["b", "c"], now);
    let mut ownership = Ownership::new("a", 10, wait);
    let config = site(&["t"], checks_fences);
    ownership.on_row("t", 3, row("b", 10), 1, now);
    assert!(ownership.decide(&config, &membership, 1, now).is_empty());
    for host in ["b", "c"] {
        // With `c` heard again, `a` is alone in the assignment only for the moment.
        let dead = Rumor {
            host: host.into(),
            incarnation: 10,
            liveness: Liveness::Dead,
        };
        membership.on_rumor(&dead, now);
    }
    let minority = ownership.decide(&config, &membership, 1, now);
    assert!(!minority.iter().any(is_take), "{minority:?}");
    let mut ownership = Ownership::new("a", 10, wait);
    ownership.on_row("t", 3, row("b", 10), 1, now);
    let mut membership = members(&["b", "c", "d"], now);
    membership.on_rumor(&leaving("c"), now);
    membership.on_rumor(&leaving("d"), now);
    membership.on_rumor(&dead("b"), now);
    let mut actions = ownership.decide(&config, &membership, 1, now);
    if !checks_fences {
        let session = SessionRow { session: 10, ended };
        ownership.on_session_read("b", 5, Some(session), now, now);
        actions = ownership.decide(&config, &membership, 1, now);
    }
    assert_eq!(actions.iter().any(is_take), at_once, "{actions:?}");
    let later = now + ms(3_100);
    if !checks_fences && !ended {
        let unseen = ownership.decide(&config, &membership, 1, later);
        assert!(
            !unseen.iter().any(is_take),
            "it may have been renewed since it was read"
        );
        let session = SessionRow { session: 10, ended };
        ownership.on_session_read("b", 5, Some(session), later, later);
    }
    let lapsed = ownership.decide(&config, &membership, 1, later);
    assert!(lapsed.iter().any(is_take), "{lapsed:?}");
}

/// Guards against a target without an owner: its host has started anew, so that no other takes it, and is assigned other ones.
#[test]
fn a_target_of_an_earlier_process_is_taken_although_another_host_is_assigned_to_it() {
    let now = Instant::now();
    let mut membership = members(&["b"], now);
    membership.on_host_list(vec![listed("b")], now);
    let mut ownership = Ownership::new("a", 10, ms(2_000));
    let config = site(&["t"], true);
    ownership.on_row("t", 3, row("a", 9), 1, now);
    let take = OwnershipAction::Take {
        target: "t".into(),
        expected_version: 3,
        era: 0,
    };
    assert_eq!(ownership.decide(&config, &membership, 1, now), [take]);
    ownership.on_row("t", 4, row("a", 10), 1, now);
    let later = now + ms(700);
    ownership.decide(&config, &membership, 1, now);
    let actions = ownership.decide(&config, &membership, 1, later);
    assert!(
        matches!(&actions[..], [OwnershipAction::HandOver { to, .. }] if to == "b"),
        "{actions:?}"
    );
}

/// The version of a row after the table came back from an older copy for the first time.
fn restored(number: u64) -> u64 {
    StoreVersion::new(1, number).to_bits()
}

fn row_of_era(
    host: &str,
    session: u64,
    era: u32,
) -> OwnerRow {
    OwnerRow {
        era,
        ..row(host, session)
    }
}

/// The row was lost, or names a former owner: the owner takes its target again, and gives it up at the end of its lease.
#[rstest]
#[case::row_is_lost(None, 0)]
#[case::row_names_a_former_owner(Some("b"), restored(2))]
fn an_owner_takes_its_target_again_from_a_restored_table(
    #[case] former: Option<&str>,
    #[case] expected_version: u64,
) {
    let now = Instant::now();
    let mut membership = members(&["b"], now);
    membership.on_host_list(vec![listed("a"), listed("b")], now);
    let config = site(&["t"], false);
    let lease_end = now + ms(1_500);
    let restore = || {
        let mut ownership = Ownership::new("a", 10, ms(2_000));
        ownership.on_era(0, lease_end, now);
        ownership.on_row("t", 5, row("a", 10), 1, now);
        assert!(ownership.on_era(1, lease_end, now));
        if let Some(former) = former {
            let row = row_of_era(former, 7, 0);
            assert_eq!(ownership.on_row("t", restored(2), row, 1, now), None);
        }
        ownership
    };
    let take = OwnershipAction::Take {
        target: "t".into(),
        expected_version,
        era: 1,
    };
    let mut ownership = restore();
    assert_eq!(ownership.decide(&config, &membership, 1, now), [take]);
    let gained = ownership.on_row("t", restored(9), row_of_era("a", 10, 1), 1, now);
    assert_eq!(gained, Some(OwnerChange::Gained));
    assert!(ownership.take_lost(lease_end).is_empty());
    let mut ownership = restore();
    assert_eq!(ownership.take_lost(lease_end), ["t"]);
}

/// Whoever owned the target before the table came back may give orders until its lease ends.
#[rstest]
#[case::row_is_lost(None)]
#[case::row_names_this_host(Some("a"))]
#[case::row_names_a_host_that_is_gone(Some("b"))]
fn nobody_else_takes_a_target_from_a_restored_table_before_a_lease_has_lapsed(
    #[case] former: Option<&str>
) {
    let now = Instant::now();
    let mut membership = members(&["b"], now);
    membership.on_host_list(vec![listed("a"), listed("b")], now);
    membership.on_rumor(&dead("b"), now);
    let config = site(&["t"], true);
    let mut ownership = Ownership::new("a", 10, ms(2_000));
    ownership.on_era(0, now, now);
    ownership.on_era(1, now, now);
    if let Some(former) = former {
        ownership.on_row("t", restored(2), row_of_era(former, 10, 0), 1, now);
    }
    assert!(ownership.owned().is_empty());
    let early = ownership.decide(&config, &membership, 1, now + ms(1_900));
    assert!(!early.iter().any(is_take), "{early:?}");
    let late = ownership.decide(&config, &membership, 1, now + ms(2_000));
    assert!(late.iter().any(is_take), "{late:?}");
}

fn leaving(host: &str) -> Rumor {
    Rumor {
        host: host.into(),
        incarnation: 11,
        liveness: Liveness::Leaving,
    }
}

fn dead(host: &str) -> Rumor {
    Rumor {
        host: host.into(),
        incarnation: 11,
        liveness: Liveness::Dead,
    }
}

fn is_take(action: &OwnershipAction) -> bool {
    matches!(action, OwnershipAction::Take { .. })
}

#[test]
fn a_renewed_session_is_never_over() {
    let now = Instant::now();
    let mut membership = members(&["b", "c", "d"], now);
    membership.on_rumor(&leaving("c"), now);
    membership.on_rumor(&leaving("d"), now);
    membership.on_rumor(&dead("b"), now);
    let mut ownership = Ownership::new("a", 10, ms(2_000));
    let config = site(&["t"], false);
    ownership.on_row("t", 3, row("b", 10), 1, now);
    for step in 0..20 {
        let at = now + ms(step * 1_000);
        let actions = ownership.decide(&config, &membership, 1, at);
        assert!(!actions.iter().any(is_take), "{actions:?}");
        let session = SessionRow {
            session: 10,
            ended: false,
        };
        ownership.on_session_read("b", 100 + step, Some(session), at, at);
    }
}

#[test]
fn rows_never_go_back() {
    let now = Instant::now();
    let mut ownership = Ownership::new("a", 10, ms(2_000));
    assert_eq!(
        ownership.on_row("t", 5, row("a", 10), 1, now),
        Some(OwnerChange::Gained)
    );
    assert_eq!(ownership.on_row("t", 4, row("b", 10), 1, now), None);
    assert_eq!(ownership.owned()["t"].fence, 5);
    assert_eq!(
        ownership.on_row("t", 6, row("b", 10), 1, now),
        Some(OwnerChange::Lost)
    );
    // An earlier process of this host is another owner.
    assert_eq!(ownership.on_row("t", 7, row("a", 9), 1, now), None);
    assert!(ownership.owned().is_empty());
}

#[test]
fn a_lease_counts_from_when_its_renewal_was_sent() {
    let lease = SessionLease::new(ms(1_000));
    let sent = Instant::now() + ms(1);
    assert!(!lease.is_valid(sent));
    lease.record_renewal(sent, sent);
    assert!(lease.is_valid(sent + ms(999)) && !lease.is_valid(sent + ms(1_000)));
    lease.record_renewal(sent - ms(500), sent + ms(400));
    assert!(
        lease.is_valid(sent + ms(999)),
        "an older renewal takes nothing away"
    );
}

#[test]
fn a_lease_held_again_after_a_lapse_is_another_term() {
    let lease = SessionLease::new(ms(1_000));
    let sent = Instant::now() + ms(1);
    lease.record_renewal(sent, sent + ms(10));
    assert!(lease.is_valid_in(1, sent + ms(500)));
    lease.record_renewal(sent + ms(900), sent + ms(950));
    assert!(lease.is_valid_in(1, sent + ms(1_500)));
    // Sent in time and confirmed too late: another may have taken what was held.
    lease.record_renewal(sent + ms(1_800), sent + ms(1_901));
    let later = sent + ms(2_000);
    assert!(lease.is_valid(later) && !lease.is_valid_in(1, later) && lease.is_valid_in(2, later));
}

#[test]
fn a_retry_budget_runs_out_and_is_earned() {
    let budget = RetryBudget::default();
    budget.deposit("s", 0.5);
    let spent = (0..20).filter(|_| budget.withdraw("s")).count();
    assert_eq!(spent, 10);
    budget.deposit("s", 0.5);
    assert!(!budget.withdraw("s"));
    budget.deposit("s", 0.5);
    assert!(budget.withdraw("s"));
}

#[test]
fn a_service_is_held_to_its_rate() {
    let now = Instant::now();
    let limits = RateLimits::default();
    let admitted = |at| (0..20).filter(|_| limits.admit("s", 5.0, at)).count();
    assert_eq!(admitted(now), 5);
    assert_eq!(admitted(now + ms(400)), 2);
    assert_eq!(
        admitted(now + ms(9_000)),
        5,
        "a quiet service saves up one second's worth"
    );
    assert!(
        (0..99).all(|_| limits.admit("other", 0.0, now)),
        "0 is no limit"
    );
}

#[test]
fn routes_prefer_alike_and_leave_out_what_leaves() {
    let config = site(&["t0", "t1", "t2"], true);
    let candidates = engine_candidates(&config, &model("a"));
    assert_eq!(candidates.len(), 3);
    let leaves = Change::SetLeaving {
        target: candidates[0].clone(),
        leaving: true,
    };
    let changed = config.with(&[leaves]).unwrap();
    assert_eq!(engine_candidates(&changed, &model("a")), candidates[1..]);
    assert!(engine_candidates(&config, &model("nobody")).is_empty());
    assert!(plain_candidates(&config, "none", "k").is_empty());
}

#[test]
fn a_refused_change_leaves_no_part() {
    let kind = Change::SetKind {
        name: "live".into(),
        spec: KindSpec {
            priority: 12,
            deadline_ms: 1,
            batch: false,
            repeatable: true,
        },
    };
    let config = site(&["t"], true);
    assert!(config.with(&[kind]).is_err());
    let missing = Change::RemoveTarget { name: "x".into() };
    assert!(config.with(&[missing]).is_err());
    assert_eq!(config.revision, 1);
}

#[test]
fn models_are_parsed_strictly() {
    let good: AdapterVersion = "triage-7@3".parse().unwrap();
    assert_eq!((good.adapter(), good.version()), ("triage-7", "3"));
    for bad in ["", "a", "@1", "a@", "a@1@2"] {
        assert!(bad.parse::<AdapterVersion>().is_err(), "{bad}");
    }
}

const SETTINGS: &str = "[host]\nname = h\nhall = a\n[listen]\ncallers = 127.0.0.1:1\n\
    peers = 127.0.0.1:2\nadmin = 127.0.0.1:3\n[platform]\ntable = 127.0.0.1:4\n\
    objects = 127.0.0.1:4\nhosts = 127.0.0.1:4\nweights = 127.0.0.1:4\n";

/// A line added to good settings, and what is said of it; the line's number is part of it.
#[rstest]
#[case("", &[])]
#[case("[lease]\nlength_ms = soon\n", &["14: [lease] length_ms"])]
#[case("[lease]\nrenew_ms = 5000\n", &["14: [lease] renew_ms: must be"])]
#[case("[lease]\nlenght_ms = 5000\n", &["14: [lease] lenght_ms is not a known"])]
#[case("[limits]\nbody_bytes = 0\n", &["14: [limits] body_bytes = 0 is not within"])]
#[case("[limits]\nconnections = 1\n[nonsense]\nx = 1\n[loads]\nat_once = 99\n",
    &["connections_per_address: must", "16: [nonsense] x is not a known", "18: [loads] at_once"])]
fn settings_are_checked_as_a_whole(
    #[case] added: &str,
    #[case] wanted: &[&str],
) {
    let text = format!("{SETTINGS}{added}");
    let problems = match HostSettings::parse(Path::new("h.ini"), &text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems,
    };
    assert_eq!(problems.len(), wanted.len(), "{problems:?}");
    for wanted in wanted {
        let said = problems
            .iter()
            .any(|problem| problem.to_string().contains(wanted));
        assert!(said, "{wanted}: {problems:?}");
    }
}

#[test]
fn missing_settings_are_all_named() {
    let problems = HostSettings::parse(Path::new("h.ini"), "").unwrap_err();
    assert_eq!(problems.len(), 9, "{problems:?}");
}

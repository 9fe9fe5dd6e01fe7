//! Faults, alone and in pairs, against real processes; the promises are checked from outside.

mod support;

use {
    coveproxy::{
        client::{CallResult, CallSpec, SeenOutcome},
        clock::Instant,
        connection::platform::HostState,
        standin::{EngineFaults, PlainFaults, PlainStandin, PlatformFaults, ProxyFault},
        version::Change,
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    support::{Bed, BedPlan, Callers, Verdict},
};

/// Answers of each sort before, during and after a fault.
const ANSWERS: usize = 12;

/// Longer than a lease and its margin in the bed.
const PAST_LEASE: Duration = Duration::from_millis(2500);

/// Time for which the table is away before it is back from a copy.
const TABLE_AWAY: Duration = Duration::from_millis(700);

/// First attempts, each under a key of its own, until one must have been answered.
const FIRST_ATTEMPTS: usize = 200;

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    TableDown,
    TableSlow,
    TableLosesReplies,
    ObjectsDown,
    WeightsDown,
    WeightsSlow,
    HostsLate,
    HostUnlisted,
    HostListedLeaving,
    HostKilled,
    OwnerKilled,
    SeatsOwnerKilled,
    TwoHostsKilled,
    HostRestarted,
    AllRestarted,
    OwnerPausedShort,
    OwnerPausedPastLease,
    OwnerStopped,
    HostStopped,
    OwnerCutFromTable,
    HostCutFromTable,
    OwnerUnheard,
    OwnerCutOff,
    PeersSlow,
    PeerLinksCut,
    EngineRestarted,
    EngineRefuses,
    EngineLinkCut,
    EngineLinkStalls,
    EngineLinkSlow,
    EngineAnswersStall,
    EngineBusy,
    LoadsFail,
    LoadHangs,
    OrdersLost,
    ForeignAdapter,
    ForeignId,
    DoubledEvents,
    SkippedEvents,
    SwappedEvents,
    StreamsCut,
    AnswersLost,
    AnswersLate,
    EngineLeaves,
    SeatsRepliesLost,
    SeatsRefuse,
    SeatsSlow,
    SeatsForeign,
    SeatsLinkCut,
    SeatsUnreachable,
    OperatorsRace,
    TableRestored,
}

use Fault::*;

impl Fault {
    /// Brings the fault about; some are over at once, others last until healed.
    async fn strike(
        self,
        bed: &mut Bed,
    ) {
        match self {
            TableDown => set_platform(bed, |f| f.table_down = true),
            TableRestored => restore_table(bed).await,
            TableSlow => set_platform(bed, |f| f.table_slow_ms = 200),
            TableLosesReplies => set_platform(bed, |f| f.lose_replies = 12),
            ObjectsDown => set_platform(bed, |f| f.objects_down = true),
            WeightsDown => set_platform(bed, |f| f.weights_down = true),
            WeightsSlow => set_platform(bed, |f| f.weights_slow = 8.0),
            HostsLate => {
                set_platform(bed, |f| f.hosts_lag_ms = 3_000);
                bed.list_hosts(|at| (at != 0).then_some(HostState::Live));
            }
            HostUnlisted => bed.list_hosts(|at| (at != 0).then_some(HostState::Live)),
            HostListedLeaving => bed.list_hosts(|at| {
                Some(match at {
                    0 => HostState::Leaving,
                    _ => HostState::Live,
                })
            }),
            HostKilled => bed.hosts[0].kill(),
            OwnerKilled => {
                let owner = bed.owner("engine-0").await;
                bed.hosts[owner].kill();
            }
            SeatsOwnerKilled => {
                let owner = bed.owner("seats-0").await;
                bed.hosts[owner].kill();
            }
            TwoHostsKilled => {
                bed.hosts[0].kill();
                bed.hosts[1].kill();
            }
            HostRestarted => {
                bed.hosts[0].kill();
                bed.hosts[0].start();
            }
            AllRestarted => {
                bed.hosts.iter_mut().for_each(|host| host.kill());
                bed.hosts.iter_mut().for_each(|host| host.start());
            }
            OwnerPausedShort => pause(bed, Duration::from_millis(400)).await,
            OwnerPausedPastLease => pause(bed, PAST_LEASE).await,
            OwnerStopped => {
                let owner = bed.owner("engine-0").await;
                stop(bed, owner).await;
            }
            HostStopped => stop(bed, 0).await,
            OwnerCutFromTable => {
                let owner = bed.owner("engine-0").await;
                bed.platform_links[owner].set(stalled());
            }
            HostCutFromTable => bed.platform_links[0].set(stalled()),
            OwnerUnheard => {
                let owner = bed.owner("engine-0").await;
                bed.peer_links[owner].set(stalled());
            }
            OwnerCutOff => {
                let owner = bed.owner("engine-0").await;
                bed.peer_links[owner].set(stalled());
                bed.platform_links[owner].set(stalled());
            }
            PeersSlow => bed.peer_links.iter().for_each(|link| link.set(slowed(5))),
            PeerLinksCut => bed.peer_links.iter().for_each(|link| link.cut()),
            EngineRestarted => bed.engines[0].restart(),
            EngineRefuses => bed.engine_links[0].set(ProxyFault {
                refuse: true,
                ..ProxyFault::default()
            }),
            EngineLinkCut => bed.engine_links.iter().for_each(|link| link.cut()),
            EngineLinkStalls => bed.engine_links[0].set(stalled()),
            EngineLinkSlow => bed.engine_links[0].set(slowed(20)),
            EngineAnswersStall => bed.engine_links[0].set(ProxyFault {
                stall_answers: true,
                ..ProxyFault::default()
            }),
            EngineBusy => set_engines(bed, |f| f.refuse = 10),
            LoadsFail => set_engines(bed, |f| f.fail_loads = 3),
            LoadHangs => set_engines(bed, |f| f.hang_loads = 1),
            OrdersLost => set_engines(bed, |f| f.lose_orders = 3),
            ForeignAdapter => set_engines(bed, |f| f.foreign_adapter = 3),
            ForeignId => set_engines(bed, |f| f.foreign_id = 3),
            DoubledEvents => set_engines(bed, |f| f.doubled_event = 6),
            SkippedEvents => set_engines(bed, |f| f.skipped_event = 6),
            SwappedEvents => set_engines(bed, |f| f.swapped_events = 6),
            StreamsCut => set_engines(bed, |f| f.cut_short = 6),
            AnswersLost => set_engines(bed, |f| f.lose_answers = 3),
            AnswersLate => set_engines(bed, |f| f.late_ms = 150),
            EngineLeaves => {
                let change = bed.engine_change(0, true);
                let seen = bed.config().await;
                bed.commit(&seen, vec![change]).await;
            }
            SeatsRepliesLost => set_seats(bed, |f| f.lose_replies = 4),
            SeatsRefuse => set_seats(bed, |f| f.refuse = 6),
            SeatsSlow => set_seats(bed, |f| f.slow_ms = 100),
            SeatsForeign => set_seats(bed, |f| f.foreign = 4),
            SeatsLinkCut => bed.plain_links.iter().for_each(|link| link.cut()),
            SeatsUnreachable => bed.plain_links[0].set(ProxyFault {
                refuse: true,
                ..ProxyFault::default()
            }),
            OperatorsRace => race(bed).await,
        }
    }

    /// True when the site is whole enough to answer all sorts of requests while the fault lasts.
    fn answers_meanwhile(self) -> bool {
        let outages = [
            WeightsDown,
            AllRestarted,
            SeatsUnreachable,
            EngineLinkStalls,
            EngineAnswersStall,
            OwnerUnheard,
            OwnerCutOff,
            HostsLate,
            TwoHostsKilled,
        ];
        !outages.contains(&self)
    }
}

/// Ends what lasts, and brings killed hosts back.
async fn heal(bed: &mut Bed) {
    bed.platform.set_faults(PlatformFaults::default());
    set_engines(bed, |_| {});
    set_seats(bed, |_| {});
    let links = bed.platform_links.iter().chain(&bed.peer_links);
    for link in links.chain(&bed.engine_links).chain(&bed.plain_links) {
        link.set(ProxyFault::default());
    }
    bed.list_hosts(|_| Some(HostState::Live));
    for host in &mut bed.hosts {
        if !host.runs() {
            host.start();
        }
    }
}

fn set_platform(
    bed: &Bed,
    set: impl Fn(&mut PlatformFaults),
) {
    let mut faults = bed.platform.faults();
    set(&mut faults);
    bed.platform.set_faults(faults);
}

/// The table is away for a moment and comes back from a copy without the last changes of owners and configuration.
async fn restore_table(bed: &mut Bed) {
    let copy = bed.platform.table_copy();
    let owner = bed.owner("engine-0").await;
    bed.hosts[owner].kill();
    let change = Change::SetOutfitter {
        name: "restored".into(),
        spec: coveproxy::version::OutfitterSpec { worth: 2.0 },
    };
    let seen = bed.config().await;
    bed.commit(&seen, vec![change]).await;
    tokio::time::sleep(PAST_LEASE).await;
    bed.hosts[owner].start();
    set_platform(bed, |f| f.table_down = true);
    tokio::time::sleep(TABLE_AWAY).await;
    bed.platform.restore_table(&copy);
    set_platform(bed, |f| f.table_down = false);
}

fn set_engines(
    bed: &Bed,
    set: impl Fn(&mut EngineFaults),
) {
    for engine in &bed.engines {
        let mut faults = EngineFaults::default();
        set(&mut faults);
        engine.set_faults(faults);
    }
}

fn set_seats(
    bed: &Bed,
    set: impl Fn(&mut PlainFaults),
) {
    for target in &bed.plain {
        let mut faults = PlainFaults::default();
        set(&mut faults);
        target.set_faults(faults);
    }
}

fn stalled() -> ProxyFault {
    ProxyFault {
        stall: true,
        ..ProxyFault::default()
    }
}

fn slowed(ms: u64) -> ProxyFault {
    ProxyFault {
        delay: Duration::from_millis(ms),
        ..ProxyFault::default()
    }
}

async fn pause(
    bed: &Bed,
    time: Duration,
) {
    let owner = bed.owner("engine-0").await;
    bed.hosts[owner].signal("-STOP");
    tokio::time::sleep(time).await;
    bed.hosts[owner].signal("-CONT");
}

/// A planned stop: the process ends by itself and says so with its exit code.
async fn stop(
    bed: &mut Bed,
    host: usize,
) {
    bed.hosts[host].signal("-TERM");
    let status = bed.hosts[host].exit().await;
    assert!(status.success(), "planned stop: {status}");
}

/// Two operators change on top of the same revision: one wins, the other is told.
async fn race(bed: &Bed) {
    let seen = bed.config().await;
    let commit = |name: &'static str| {
        let (store, seen) = (bed.store(), seen.clone());
        let change = Change::SetOutfitter {
            name: name.into(),
            spec: coveproxy::version::OutfitterSpec { worth: 2.0 },
        };
        support::blocking(move || store.commit(&seen, vec![change], name, name))
    };
    let (one, other) = tokio::join!(commit("one"), commit("other"));
    assert!(one.is_ok() != other.is_ok(), "{one:?} {other:?}");
}

/// Runs a site through faults under load, and judges it.
async fn run(
    plan: BedPlan,
    faults: &[Fault],
) -> Verdict {
    let mut bed = Bed::start(plan).await;
    let callers = Callers::start(&bed);
    callers.wait_answered(ANSWERS).await;
    for fault in faults {
        fault.strike(&mut bed).await;
    }
    if faults.len() == 1 && faults[0].answers_meanwhile() {
        callers.wait_answered(ANSWERS).await;
    } else {
        tokio::time::sleep(PAST_LEASE).await;
    }
    heal(&mut bed).await;
    callers.wait_answered(ANSWERS).await;
    let seen = callers.finish().await;
    let verdict = Verdict::new(&bed, &seen);
    eprintln!(
        "{faults:?}: {} requests, {} answered, {} not run, {} unknown, lost {:?}",
        verdict.requests, verdict.answered, verdict.not_run, verdict.unknown, verdict.lost
    );
    verdict.assert_kept();
    verdict
}

/// Faults that cost no request that may be repeated its answer.
#[rstest]
#[case(TableDown)]
#[case(TableSlow)]
#[case(TableLosesReplies)]
#[case(ObjectsDown)]
// Guards against requests that end with `no_owner` while a host that runs is left out of the list.
#[case::host_left_out_of_the_list(HostUnlisted)]
#[case(HostListedLeaving)]
#[case(HostKilled)]
#[case(OwnerKilled)]
#[case(SeatsOwnerKilled)]
#[case(HostRestarted)]
#[case(OwnerPausedShort)]
#[case(OwnerPausedPastLease)]
#[case(OwnerStopped)]
#[case(HostStopped)]
#[case(OwnerCutFromTable)]
#[case(HostCutFromTable)]
#[case(PeersSlow)]
#[case(PeerLinksCut)]
#[case(EngineRestarted)]
#[case(EngineLinkCut)]
#[case(EngineLinkSlow)]
#[case(OrdersLost)]
#[case(DoubledEvents)]
#[case(SkippedEvents)]
#[case(SwappedEvents)]
#[case(StreamsCut)]
#[case(AnswersLate)]
#[case(SeatsRepliesLost)]
#[case(SeatsRefuse)]
#[case(SeatsSlow)]
#[case(SeatsForeign)]
#[case(SeatsLinkCut)]
#[case(SeatsUnreachable)]
#[case(OperatorsRace)]
#[case(TableRestored)]
#[tokio::test(flavor = "multi_thread")]
async fn costs_no_repeatable_request(#[case] fault: Fault) {
    run(BedPlan::default(), &[fault]).await.assert_none_lost();
}

/// Faults that may cost answers, and yet break no promise.
#[rstest]
#[case(WeightsDown)]
#[case(WeightsSlow)]
#[case(HostsLate)]
#[case(TwoHostsKilled)]
#[case(AllRestarted)]
#[case(OwnerUnheard)]
#[case(OwnerCutOff)]
#[case(EngineRefuses)]
#[case(EngineLinkStalls)]
#[case(EngineAnswersStall)]
#[case(EngineBusy)]
#[case(LoadsFail)]
#[case(LoadHangs)]
#[case(ForeignAdapter)]
#[case(ForeignId)]
#[case(AnswersLost)]
#[case(EngineLeaves)]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_promises(#[case] fault: Fault) {
    run(BedPlan::default(), &[fault]).await;
}

/// The same with engines that obey any order.
#[rstest]
#[case(TableDown)]
#[case(TableLosesReplies)]
#[case(OwnerKilled)]
#[case(OwnerPausedPastLease)]
#[case(OwnerStopped)]
#[case(OwnerCutFromTable)]
#[case(OwnerUnheard)]
#[case(OwnerCutOff)]
#[case(AllRestarted)]
#[case(EngineRestarted)]
#[case(OrdersLost)]
#[case(TableRestored)]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_promises_without_fences(#[case] fault: Fault) {
    let plan = BedPlan {
        checks_fences: false,
        ..BedPlan::default()
    };
    run(plan, &[fault]).await;
}

/// The host that had committed it knows the revision; the table and whoever starts anew do not.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_configuration_is_kept_as_the_table_comes_back_without_it() {
    let mut bed = Bed::start(BedPlan::default()).await;
    let copy = bed.platform.table_copy();
    let change = Change::SetOutfitter {
        name: "restored".into(),
        spec: coveproxy::version::OutfitterSpec { worth: 2.0 },
    };
    let seen = bed.config().await;
    bed.commit(&seen, vec![change]).await;
    let accepted = bed.config().await.revision;
    for at in 0..bed.hosts.len() {
        wait_revision(&bed, at, accepted).await;
    }
    bed.platform.restore_table(&copy);
    support::wait_for("the table names the revision again", async || {
        (bed.config().await.revision == accepted).then_some(())
    })
    .await;
    bed.hosts[0].kill();
    bed.hosts[0].start();
    wait_revision(&bed, 0, accepted).await;
}

async fn wait_revision(
    bed: &Bed,
    host: usize,
    revision: u64,
) {
    support::wait_for("the revision is in force", async || {
        let status = bed.status(host).await?;
        (status["config_revision"].as_u64() == Some(revision)).then_some(())
    })
    .await;
}

/// A caller that lost its answer asks again while no host can take over the dead owner's target:
/// nobody knows of the first attempt, so that the second must not run.
#[rstest]
#[case::second_attempt(2)]
#[case::attempt_that_does_not_say(0)]
#[tokio::test(flavor = "multi_thread")]
async fn runs_no_later_attempt_without_an_owner(#[case] later: u32) {
    let mut bed = Bed::start(BedPlan::default()).await;
    for host in 0..bed.hosts.len() {
        // Each host knows the owners before the table is gone.
        let begun = format!("seat-of-host-{host}");
        first_answer(&bed, &begun, Some(bed.hosts[host].callers)).await;
    }
    TableDown.strike(&mut bed).await;
    let (mut spec, first) = first_answer(&bed, "seat-of-a-lost-answer", None).await;

    let owner = bed.owner(&first.target).await;
    bed.hosts[owner].kill();
    spec.key.as_mut().unwrap().1 = later;
    let again = bed.client.call(&spec).await;
    assert_ne!(again.outcome, SeenOutcome::Answered, "{again:?}");

    let runs: u32 = bed.plain.iter().map(|target| runs_of(target, &spec)).sum();
    assert_eq!(runs, 1, "first {first:?}, again {again:?}");
}

/// Sends first attempts under one key after the other until one is answered.
async fn first_answer(
    bed: &Bed,
    name: &str,
    host: Option<SocketAddr>,
) -> (CallSpec, CallResult) {
    for turn in 0..FIRST_ATTEMPTS {
        let mut spec = CallSpec::plain("key-seats", "seats", "book");
        spec.key = Some((format!("{name}-{turn}"), 1));
        let result = match host {
            Some(host) => bed.client.call_at(host, &spec, Instant::now()).await,
            None => Some(bed.client.call(&spec).await),
        };
        match result {
            Some(result) if result.outcome == SeenOutcome::Answered => return (spec, result),
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    panic!("no first attempt of {name} was answered");
}

fn runs_of(
    target: &PlainStandin,
    spec: &CallSpec,
) -> u32 {
    let key = spec.key.as_ref().map_or("", |(key, _)| key);
    let runs = target.record().runs;
    runs.get(key).copied().unwrap_or(0)
}

/// Two faults together.
#[rstest]
#[case(TableDown, OwnerKilled)]
#[case(TableDown, OwnerPausedPastLease)]
#[case(TableDown, EngineRestarted)]
#[case(TableDown, OwnerUnheard)]
#[case(TableDown, AllRestarted)]
#[case(TableDown, SeatsOwnerKilled)]
#[case(TableSlow, OwnerKilled)]
#[case(TableSlow, OwnerStopped)]
#[case(TableLosesReplies, OwnerKilled)]
#[case(TableLosesReplies, OwnerStopped)]
#[case(TableLosesReplies, OperatorsRace)]
#[case(OwnerKilled, EngineRestarted)]
#[case(OwnerKilled, WeightsSlow)]
#[case(OwnerKilled, LoadsFail)]
#[case(OwnerKilled, StreamsCut)]
#[case(OwnerKilled, SeatsRepliesLost)]
#[case(OwnerPausedPastLease, EngineRestarted)]
#[case(OwnerPausedPastLease, SeatsSlow)]
#[case(OwnerStopped, EngineLinkCut)]
#[case(OwnerStopped, HostKilled)]
#[case(SeatsOwnerKilled, SeatsRepliesLost)]
#[case(SeatsOwnerKilled, SeatsSlow)]
#[case(PeerLinksCut, StreamsCut)]
#[case(HostsLate, OwnerKilled)]
#[case(EngineLeaves, OwnerKilled)]
#[case(EngineLinkCut, SwappedEvents)]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_promises_in_pairs(
    #[case] first: Fault,
    #[case] second: Fault,
) {
    run(BedPlan::default(), &[first, second]).await;
}

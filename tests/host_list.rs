//! A host that the platform's list leaves out while it runs on went on owning its targets, while the other hosts took it for gone:
//! requests for these targets ended with `no_owner` for as long as the list left it out.

mod support;

use {
    coveproxy::connection::platform::HostState,
    rstest::rstest,
    std::time::Duration,
    support::{Bed, BedPlan, Callers, Verdict, wait_for},
};

/// Answers of each sort before and after a change of the list.
const ANSWERS: usize = 12;

/// Twice the time that a request waits for an owner.
const LONG: Duration = Duration::from_secs(6);

/// Longer than a host waits before it hands a target over.
const SHORT: Duration = Duration::from_millis(900);

/// A list that leaves the first `count` hosts out.
fn leave_out(
    bed: &Bed,
    count: usize,
) {
    bed.list_hosts(|at| (at >= count).then_some(HostState::Live));
}

/// A list that shows the first host as leaving.
fn list_as_leaving(bed: &Bed) {
    bed.list_hosts(|at| match at {
        0 => Some(HostState::Leaving),
        _ => Some(HostState::Live),
    });
}

fn list_all(bed: &Bed) {
    bed.list_hosts(|_| Some(HostState::Live));
}

/// Waits until no target is owned by `host` in the view of another one.
async fn wait_owns_nothing(
    bed: &Bed,
    host: usize,
) {
    let name = bed.hosts[host].name.as_str();
    wait_for("a host without targets", async || {
        let status = bed.status(bed.hosts.len() - 1).await?;
        let owners = status["owners"].as_array()?;
        let owns = owners.iter().any(|owner| owner["host"] == name);
        (!owns).then_some(())
    })
    .await;
}

/// Ends the callers after some more answers, and fails the test if a promise was broken or a repeatable request lost.
async fn judge(
    bed: &Bed,
    callers: Callers,
) {
    callers.wait_answered(ANSWERS).await;
    let verdict = Verdict::new(bed, &callers.finish().await);
    eprintln!("{verdict:?}");
    verdict.assert_kept();
    verdict.assert_none_lost();
}

async fn start(plan: BedPlan) -> (Bed, Callers) {
    let bed = Bed::start(plan).await;
    let callers = Callers::start(&bed);
    callers.wait_answered(ANSWERS).await;
    (bed, callers)
}

/// Guards against requests that end with `no_owner` while a host is left out for longer than they wait.
#[rstest]
#[case::one_host(1)]
#[case::half_of_the_hosts(2)]
#[case::all_but_one(3)]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_are_left_out_for_long_cost_no_repeatable_request(#[case] count: usize) {
    let (bed, callers) = start(BedPlan::default()).await;
    leave_out(&bed, count);
    tokio::time::sleep(LONG).await;
    for host in 0..count {
        wait_owns_nothing(&bed, host).await;
    }
    list_all(&bed);
    judge(&bed, callers).await;
}

/// Guards against engines that obey any order and stay without an owner while theirs is left out.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_left_out_hands_over_engines_that_check_no_fences() {
    let plan = BedPlan {
        checks_fences: false,
        ..BedPlan::default()
    };
    let (bed, callers) = start(plan).await;
    leave_out(&bed, 1);
    tokio::time::sleep(LONG).await;
    wait_owns_nothing(&bed, 0).await;
    list_all(&bed);
    judge(&bed, callers).await;
}

/// Guards against a list that names nobody, which no host that reads it can believe.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_names_no_host_costs_no_repeatable_request() {
    let (bed, callers) = start(BedPlan::default()).await;
    leave_out(&bed, 4);
    tokio::time::sleep(LONG).await;
    list_all(&bed);
    judge(&bed, callers).await;
}

/// Guards against targets without an owner while the list leaves a host out again and again.
#[rstest]
#[case::for_shorter_than_a_handover_waits(Duration::from_millis(250))]
#[case::for_longer_than_a_handover_waits(SHORT)]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_left_out_again_and_again_costs_no_repeatable_request(
    #[case] pause: Duration
) {
    let (bed, callers) = start(BedPlan::default()).await;
    for _ in 0..6 {
        leave_out(&bed, 1);
        tokio::time::sleep(pause).await;
        list_all(&bed);
        tokio::time::sleep(pause).await;
    }
    judge(&bed, callers).await;
}

/// Guards against a takeover that waits for the lease of a dead host because the list leaves it out as well.
#[rstest]
#[case::listed_to_the_end(false)]
#[case::left_out_as_it_dies(true)]
#[tokio::test(flavor = "multi_thread")]
async fn the_targets_of_a_host_that_dies_are_taken_over_whatever_the_list_says(
    #[case] left_out: bool
) {
    let plan = BedPlan {
        real_timings: true,
        ..BedPlan::default()
    };
    let (mut bed, callers) = start(plan).await;
    if left_out {
        leave_out(&bed, 1);
    }
    bed.hosts[0].kill();
    judge(&bed, callers).await;
}

/// Guards against rows of a host's earlier process that neither its new process nor any other host takes.
#[rstest]
#[case::left_out(false)]
#[case::listed_as_leaving(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_place_on_the_list_that_starts_anew_leaves_no_target_without_an_owner(
    #[case] leaving: bool
) {
    let (mut bed, callers) = start(BedPlan::default()).await;
    match leaving {
        true => list_as_leaving(&bed),
        false => leave_out(&bed, 1),
    }
    bed.hosts[0].kill();
    bed.hosts[0].start();
    tokio::time::sleep(LONG).await;
    wait_owns_nothing(&bed, 0).await;
    list_all(&bed);
    judge(&bed, callers).await;
}

/// Guards against a host that is listed as leaving and, counting itself among those that stay, keeps its targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_listed_as_leaving_hands_its_targets_over() {
    let (bed, callers) = start(BedPlan::default()).await;
    list_as_leaving(&bed);
    wait_owns_nothing(&bed, 0).await;
    list_all(&bed);
    judge(&bed, callers).await;
}

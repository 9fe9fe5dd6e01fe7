//! What control costs at some numbers of hosts, and how long takeovers take.
//!
//! `cargo bench --bench control`; every host is a real process.

#[path = "support/mod.rs"]
mod figures;
#[path = "../tests/support/mod.rs"]
mod support;

use {
    coveproxy::{
        client::{CallSpec, SeenOutcome},
        clock::Instant,
        version::{Change, OutfitterSpec},
    },
    figures::{cpu_seconds, median, resident_kib},
    std::time::Duration,
    support::{Bed, BedPlan, model},
};

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let wanted = std::env::args().nth(1).unwrap_or_default();
        let all = wanted.is_empty() || wanted.starts_with("--");
        if all || wanted == "idle" {
            idle_cost().await;
        }
        if all || wanted == "takeover" {
            takeovers().await;
        }
    });
}

fn plan(
    hosts: usize,
    engines: usize,
) -> BedPlan {
    BedPlan {
        hosts,
        engines,
        plain: 1,
        threads: 1,
        ..BedPlan::default()
    }
}

/// Processor, memory, bytes and table calls of idle hosts, and the time of a configuration change.
async fn idle_cost() {
    const SECONDS: f64 = 10.0;
    println!("idle hosts, two engines each host, over {SECONDS} s");
    println!(
        "{:>6} {:>8} {:>8} {:>12} {:>14} {:>12} {:>12} {:>12}",
        "hosts", "core %", "MiB", "peer B/s", "platform B/s", "reads/s", "writes/s", "config ms"
    );
    for hosts in [4, 7, 20, 60] {
        let bed = Bed::start(BedPlan {
            real_timings: true,
            ..plan(hosts, hosts * 2)
        })
        .await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = figures_of(&bed);
        let began = Instant::now();
        tokio::time::sleep(Duration::from_secs_f64(SECONDS)).await;
        let after = figures_of(&bed);
        let per = |at: usize| (after[at] - before[at]) / began.elapsed().as_secs_f64();
        let each = hosts as f64;
        let memory = bed.hosts.iter().filter_map(|host| host.pid());
        let memory: Vec<f64> = memory
            .map(|pid| resident_kib(pid) as f64 / 1024.0)
            .collect();
        let change = config_time(&bed).await;
        println!(
            "{hosts:>6} {:>8.2} {:>8.1} {:>12.0} {:>14.0} {:>12.1} {:>12.1} {:>12.0}",
            per(0) * 100.0 / each,
            median(memory),
            per(1) / each,
            per(2) / each,
            per(3),
            per(4),
            change.as_secs_f64() * 1000.0
        );
    }
}

/// Processor seconds, bytes among hosts, bytes with the platform, table reads, table writes.
fn figures_of(bed: &Bed) -> [f64; 5] {
    let cpu = bed
        .hosts
        .iter()
        .filter_map(|host| host.pid())
        .map(cpu_seconds);
    let peers = bed.peer_links.iter().map(|link| link.bytes()).sum::<u64>();
    let platform = bed
        .platform_links
        .iter()
        .map(|link| link.bytes())
        .sum::<u64>();
    let calls = bed.platform.table_calls();
    [
        cpu.sum(),
        peers as f64,
        platform as f64,
        calls.reads as f64,
        calls.writes as f64,
    ]
}

/// Time from a change's commit until every host has it in force.
async fn config_time(bed: &Bed) -> Duration {
    let seen = bed.config().await;
    let change = Change::SetOutfitter {
        name: "new".into(),
        spec: OutfitterSpec { worth: 2.0 },
    };
    let next = bed.commit(&seen, vec![change]).await;
    let began = Instant::now();
    support::wait_for("the configuration everywhere", async || {
        let status = bed.status(0).await?;
        let hosts = status["hosts"].as_array()?;
        let in_force = hosts
            .iter()
            .all(|host| host["config_revision"].as_u64() == Some(next.revision));
        in_force.then_some(())
    })
    .await;
    began.elapsed()
}

#[derive(Debug, Clone, Copy)]
enum Loss {
    Killed,
    Paused,
    Stopped,
}

/// Time without service for an adapter after its owner goes, as a new request sees it.
async fn takeovers() {
    const RUNS: usize = 20;
    println!("\ntime without service after the owner goes, {RUNS} runs, 4 hosts");
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>8}",
        "owner", "median ms", "least ms", "most ms", "lost"
    );
    let wanted = std::env::args().nth(2).unwrap_or_default();
    for loss in [Loss::Killed, Loss::Paused, Loss::Stopped] {
        let name = format!("{loss:?}").to_lowercase();
        if !wanted.is_empty() && !wanted.starts_with("--") && wanted != name {
            continue;
        }
        let mut times = Vec::new();
        let mut lost = 0;
        for _ in 0..RUNS {
            let (time, answered) = takeover(loss).await;
            times.push(time.as_secs_f64() * 1000.0);
            lost += usize::from(!answered);
        }
        let least = times.iter().copied().fold(f64::INFINITY, f64::min);
        let most = times.iter().copied().fold(0.0, f64::max);
        println!(
            "{:>10} {:>10.0} {least:>10.0} {most:>10.0} {lost:>8}",
            name,
            median(times)
        );
    }
}

async fn takeover(loss: Loss) -> (Duration, bool) {
    let mut bed = Bed::start(plan(4, 1)).await;
    let owner = bed.owner("engine-0").await;
    let asker = bed.hosts[(owner + 1) % 4].callers;
    let spec = CallSpec::completion("key-notes", model(0), 2, true);
    let warmed = bed.client.call_at(asker, &spec, Instant::now()).await;
    assert!(warmed.is_some_and(|r| r.outcome == SeenOutcome::Answered));
    // The load has long been reported when the owner goes.
    tokio::time::sleep(Duration::from_millis(500)).await;
    match loss {
        Loss::Killed => bed.hosts[owner].kill(),
        Loss::Paused => bed.hosts[owner].signal("-STOP"),
        Loss::Stopped => bed.hosts[owner].signal("-TERM"),
    }
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    // Until the site has settled, the slowest of requests that follow each other is what it cost.
    while began.elapsed() < Duration::from_secs(3) {
        let sent = Instant::now();
        let result = bed.client.call_at(asker, &spec, sent).await;
        if result.is_none_or(|r| r.outcome != SeenOutcome::Answered) {
            return (sent.elapsed(), false);
        }
        slowest = slowest.max(sent.elapsed());
    }
    (slowest, true)
}

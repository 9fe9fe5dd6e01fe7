//! What the path costs: added times, tokens a second, memory for open streams.
//!
//! `cargo bench --bench path`; every figure is from one run on one machine, so ratios count.

#[path = "support/mod.rs"]
mod figures;
#[path = "../tests/support/mod.rs"]
mod support;

use {
    coveproxy::{
        client::{CallResult, CallSpec, CallerClient, SeenOutcome},
        clock::Instant,
        connection::target::{AnswerCheck, SseReader, TargetCall, TargetClient},
        version::AdapterVersion,
    },
    figures::{cpu_seconds, percentiles, resident_kib},
    http::{HeaderMap, Method},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::{Bed, BedPlan, model},
    tokio::task::JoinSet,
};

const TOKENS: u64 = 20;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let wanted = std::env::args().nth(1).unwrap_or_default();
        let all = wanted.is_empty() || wanted.starts_with("--");
        if all || wanted == "added" {
            added_time().await;
        }
        if all || wanted == "tokens" {
            tokens_a_second().await;
        }
        if all || wanted == "requests" {
            requests_a_second().await;
        }
        if all || wanted == "memory" {
            memory().await;
        }
    });
}

fn plan(hosts: usize) -> BedPlan {
    BedPlan {
        hosts,
        engines: 1,
        plain: 1,
        adapters: 2,
        batch_slots: 8_192,
        token_time: Duration::from_millis(10),
        direct: true,
        ..BedPlan::default()
    }
}

/// One streamed call past coveproxy, straight to the engine.
async fn direct(
    client: &TargetClient,
    engine: SocketAddr,
    number: u64,
) -> CallResult {
    let model = model(0);
    let id = format!("direct-{number}");
    let body = format!(
        r#"{{"model":"{model}","prompt":"Summarise the log","max_tokens":{TOKENS},"stream":true}}"#
    );
    let began = Instant::now();
    let call = TargetCall {
        address: engine,
        method: Method::POST,
        path: "/v1/completions".into(),
        headers: HeaderMap::new(),
        body: body.into(),
        request_id: id.clone(),
        model: Some(model.clone()),
        priority: 7,
        fence: u64::MAX,
        key: String::new(),
    };
    let mut result = CallResult::new(SeenOutcome::Unknown);
    let Ok(answer) = client.send(call).await else {
        return result;
    };
    let mut reader = SseReader::new(answer.body);
    let mut check = AnswerCheck::new(&id, &model, 0);
    let mut last = began;
    while let Ok(Some(event)) = reader.next().await {
        let now = Instant::now();
        match result.events {
            0 => result.first_token = now - began,
            _ => result.longest_gap = result.longest_gap.max(now - last),
        }
        last = now;
        result.events += 1;
        if check.event(event).is_err() {
            return result;
        }
    }
    result.outcome = SeenOutcome::Answered;
    result
}

/// Times to the first token and between tokens: straight, through the owner, through another host.
async fn added_time() {
    const CALLS: usize = 1_500;
    const AT_ONCE: usize = 16;
    let bed = Arc::new(Bed::start(plan(2)).await);
    let owner = bed.owner("engine-0").await;
    let client = Arc::new(TargetClient::new());
    warm(&bed, owner).await;
    let number = Arc::new(AtomicU64::new(0));
    let mut lanes = JoinSet::new();
    for _ in 0..AT_ONCE {
        let (bed, client, number) = (bed.clone(), client.clone(), number.clone());
        lanes.spawn(async move {
            let mut seen: [Vec<CallResult>; 3] = Default::default();
            while number.load(Ordering::Relaxed) < CALLS as u64 {
                let at = number.fetch_add(1, Ordering::Relaxed);
                let engine = bed.engines[0].address();
                seen[0].push(direct(&client, engine, at).await);
                for (way, host) in [(1, owner), (2, 1 - owner)] {
                    let spec = CallSpec::completion("key-notes", model(0), TOKENS, true);
                    let address = bed.hosts[host].callers;
                    let called = bed.client.call_at(address, &spec, Instant::now()).await;
                    seen[way].extend(called);
                }
            }
            seen
        });
    }
    let mut ways: [Vec<CallResult>; 3] = Default::default();
    for seen in lanes.join_all().await {
        for (way, results) in seen.into_iter().enumerate() {
            ways[way].extend(results);
        }
    }
    println!("added time, {CALLS} calls of {TOKENS} tokens each way, {AT_ONCE} at once");
    println!(
        "{:<22} {:>24} {:>28}",
        "way", "first token ms", "longest gap ms"
    );
    let mut base = [0.0; 3];
    for (name, results) in ["straight", "through the owner", "through another host"]
        .iter()
        .zip(&ways)
    {
        let answered = results
            .iter()
            .filter(|r| r.outcome == SeenOutcome::Answered);
        let mut firsts: Vec<Duration> = answered.clone().map(|r| r.first_token).collect();
        let mut gaps: Vec<Duration> = answered.map(|r| r.longest_gap).collect();
        let (first, gap) = (percentiles(&mut firsts), percentiles(&mut gaps));
        if base[0] == 0.0 {
            base = first;
        }
        println!(
            "{name:<22} {:>7.2} {:>7.2} {:>7.2}   {:>7.2} {:>7.2} {:>7.2}   added p50 {:.2} p95 {:.2} p99 {:.2}   n {}",
            first[0],
            first[1],
            first[2],
            gap[0],
            gap[1],
            gap[2],
            first[0] - base[0],
            first[1] - base[1],
            first[2] - base[2],
            firsts.len()
        );
    }
}

async fn warm(
    bed: &Bed,
    host: usize,
) {
    for number in 0..2 {
        let spec = CallSpec::completion("key-notes", model(number), 2, true);
        let address = bed.hosts[host].callers;
        let warmed = bed.client.call_at(address, &spec, Instant::now()).await;
        assert!(warmed.is_some_and(|r| r.outcome == SeenOutcome::Answered));
    }
}

/// Processor time for each token at some rates, with the owner as entry host and with another.
async fn tokens_a_second() {
    const SECONDS: f64 = 6.0;
    println!("\ntokens a second, each stream 100 a second");
    println!(
        "{:>7} {:>8} {:>8} {:>10} {:>9} {:>14} {:>9} {:>14}",
        "threads", "hops", "streams", "tokens/s", "owner %", "us/token", "entry %", "us/token"
    );
    for (threads, hops) in [(1, 1), (4, 1), (1, 2)] {
        for streams in [30, 90, 300] {
            let bed = Bed::start(BedPlan {
                threads,
                ..plan(hops)
            })
            .await;
            let owner = bed.owner("engine-0").await;
            let entry = (owner + hops - 1) % hops;
            warm(&bed, entry).await;
            let [rate, at_owner, at_entry] =
                run_streams(&bed, owner, entry, streams, SECONDS).await;
            println!(
                "{threads:>7} {hops:>8} {streams:>8} {rate:>10.0} {:>9.1} {:>14.2} {:>9.1} {:>14.2}",
                at_owner * 100.0,
                at_owner * 1e6 / rate,
                at_entry * 100.0,
                at_entry * 1e6 / rate
            );
        }
    }
}

/// Tokens a second, and the share of a core that owner and entry host spend on them.
async fn run_streams(
    bed: &Bed,
    owner: usize,
    entry: usize,
    streams: usize,
    seconds: f64,
) -> [f64; 3] {
    // They start one by one, so that the callers in this process keep up.
    const BETWEEN: Duration = Duration::from_millis(3);
    let tokens = (seconds * 100.0) as u64 + 300;
    let mut calls = JoinSet::new();
    for _ in 0..streams {
        let client = CallerClient::new(Vec::new());
        let address = bed.hosts[entry].callers;
        let mut spec = CallSpec::completion("key-notes", model(0), tokens, true);
        spec.deadline = Some(Duration::from_secs(20));
        calls.spawn(async move { client.call_at(address, &spec, Instant::now()).await });
        tokio::time::sleep(BETWEEN).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let pids = [owner, entry].map(|host| bed.hosts[host].pid().unwrap());
    let before = (generated(bed), pids.map(cpu_seconds), Instant::now());
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    let after = (generated(bed), pids.map(cpu_seconds), Instant::now());
    let time = (after.2 - before.2).as_secs_f64();
    let ended = calls.join_all().await;
    let whole = ended
        .iter()
        .flatten()
        .filter(|r| r.outcome == SeenOutcome::Answered);
    assert_eq!(whole.count(), streams, "every stream is whole");
    [
        (after.0 - before.0) as f64 / time,
        (after.1[0] - before.1[0]) / time,
        (after.1[1] - before.1[1]) / time,
    ]
}

fn generated(bed: &Bed) -> u64 {
    let record = bed.engines[0].record();
    record
        .executions
        .iter()
        .map(|execution| execution.tokens)
        .sum()
}

/// Calls that one host carries when callers wait for each answer.
async fn requests_a_second() {
    const SECONDS: u64 = 4;
    println!("\nrequests a second, 64 callers that wait for each answer");
    println!(
        "{:>7} {:>14} {:>12} {:>10} {:>16}",
        "threads", "what", "requests/s", "core %", "us of core/request"
    );
    for threads in [1, 4] {
        for stream in [false, true] {
            let bed = Arc::new(
                Bed::start(BedPlan {
                    threads,
                    token_time: Duration::from_millis(1),
                    ..plan(1)
                })
                .await,
            );
            warm(&bed, 0).await;
            let done = Arc::new(AtomicU64::new(0));
            let until = Instant::now() + Duration::from_secs(SECONDS);
            let pid = bed.hosts[0].pid().unwrap();
            let (cpu, began) = (cpu_seconds(pid), Instant::now());
            let mut lanes = JoinSet::new();
            for _ in 0..64 {
                let (bed, done) = (bed.clone(), done.clone());
                lanes.spawn(async move {
                    while Instant::now() < until {
                        let spec = match stream {
                            true => CallSpec::completion("key-notes", model(0), 2, true),
                            false => CallSpec::plain("key-seats", "seats", "book"),
                        };
                        let address = bed.hosts[0].callers;
                        let result = bed.client.call_at(address, &spec, Instant::now()).await;
                        if result.is_some_and(|r| r.outcome == SeenOutcome::Answered) {
                            done.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
            lanes.join_all().await;
            let time = began.elapsed().as_secs_f64();
            let rate = done.load(Ordering::Relaxed) as f64 / time;
            let cores = (cpu_seconds(pid) - cpu) / time;
            let what = if stream {
                "2-token stream"
            } else {
                "plain call"
            };
            println!(
                "{threads:>7} {what:>14} {rate:>12.0} {:>10.1} {:>16.1}",
                cores * 100.0,
                cores * 1e6 / rate
            );
        }
    }
}

/// Memory of a host with open streams.
async fn memory() {
    println!("\nmemory of a host, streams of one token a second");
    println!("{:>8} {:>12} {:>16}", "streams", "MiB", "KiB each");
    let bed = Bed::start(BedPlan {
        token_time: Duration::from_secs(1),
        ..plan(1)
    })
    .await;
    let spec = AdapterVersion::new("adapter-0", "1").unwrap();
    let pid = bed.hosts[0].pid().unwrap();
    let idle = resident_kib(pid);
    let mut open = JoinSet::new();
    let mut count = 0;
    for wanted in [100, 1_000, 4_000] {
        while count < wanted {
            let client = CallerClient::new(Vec::new());
            let address = bed.hosts[0].callers;
            let mut call = CallSpec::completion("key-notes", spec.clone(), 100, true);
            call.deadline = Some(Duration::from_secs(20));
            open.spawn(async move { client.call_at(address, &call, Instant::now()).await });
            count += 1;
            if count % 100 == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let now = resident_kib(pid);
        println!(
            "{count:>8} {:>12.1} {:>16.1}",
            now as f64 / 1024.0,
            (now - idle) as f64 / count as f64
        );
    }
    open.abort_all();
}

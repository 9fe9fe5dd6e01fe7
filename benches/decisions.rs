//! What single decisions cost at today's size and at the size to come.
//!
//! `cargo bench --bench decisions`; medians of several rounds in one run.

#[path = "support/mod.rs"]
mod figures;
#[path = "support/poison_ledger.rs"]
mod poison_ledger;

use {
    coveproxy::{
        clock::Instant,
        connection::{
            datagram::SentPrompt,
            targets::{
                FleetView, ServiceEngines, StalenessBounds, TargetTable, TargetTableSettings,
                TargetView,
            },
        },
        formats::{RowBatch, SoftwareVersion, TargetRecord, TargetState},
        process::{
            engines::PromptCache,
            holding::{EngineAssignment, HostRow, LeaseTimings},
            ownership::assign,
        },
        request::{
            direct::{Generation, Policy, PromptChain, PromptPart, first_by_prompt},
            engine_candidates,
            origins::RequiredSoftware,
            quotas::{Charge, QuotaLedger, QuotaPolicy},
        },
        version::{
            AdapterVersion, Change, EngineSpec, SiteConfig, TargetRole, TargetSpec,
            routing::{Customer, Customers, KeyDigest, UseLimit, UseUnit},
        },
    },
    figures::{median, resident_kib},
    std::{collections::BTreeMap, hint::black_box, net::SocketAddr, sync::Arc, time::Duration},
};

fn main() {
    println!(
        "{:>9} {:>9} {:>7} {:>14} {:>16} {:>14} {:>14}",
        "adapters", "engines", "hosts", "route us", "assignment ms", "change ms", "config MiB"
    );
    for (adapters, engines, hosts) in [(3_000, 12, 7), (30_000, 200, 100), (150_000, 820, 380)] {
        row(adapters, engines, hosts);
    }
    println!("\ntargets that move when one host goes, and the least possible, over 20 hosts lost");
    for (targets, hosts) in [(16, 7), (820, 380)] {
        moves(targets, hosts);
    }
    println!(
        "\none look at vacant engines, one view of which nothing or one holder has changed, one settling"
    );
    for (targets, hosts) in [(12, 6), (820, 380), (3_000, 302)] {
        control_row(targets, hosts);
    }
    println!(
        "\none rank of engines for a prompt, one prompt recorded in an engine's cache, one look-up"
    );
    for engines in [60, 820, 3_000] {
        prompts_row(engines);
    }
    println!(
        "\ncustomers with ten keys each: taken in, memory, one look-up, one charge of a limit"
    );
    for customers in [16, 1_000, 10_000] {
        customers_row(customers);
    }
    println!("\none crash of a target in the ledger of poison, and one look at its verdicts");
    poison_ledger::print_rows();
}

fn customers_row(customers: usize) {
    let before = resident_kib(std::process::id());
    let build = || {
        let mut all = Customers::default();
        for at in 0..customers {
            let keys = (0..10).map(|key| KeyDigest::of(format!("key-{at}-{key}").as_bytes()));
            all.add(limited_customer(at), keys);
        }
        all
    };
    let all = build();
    let memory = (resident_kib(std::process::id()) - before) as f64 / 1024.0;
    let taken_in = timed(5, || {
        black_box(build());
    });
    let lookups = timed(20, || {
        for at in 0..1_000 {
            let key = KeyDigest::of(format!("key-{}-7", at % customers).as_bytes());
            black_box(all.of_key(&key));
        }
    });
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(Duration::from_secs(8), start);
    let terms = QuotaPolicy {
        window: Duration::from_secs(8),
        tolerance: 0.1,
        slack: 11_000.0,
    };
    let mut id = 0;
    let charges = timed(20, || {
        for at in 0..1_000 {
            id += 1;
            let customer = limited_customer(at % customers);
            let bucket = terms.bucket(&customer.limit.unwrap());
            let charge = Charge {
                id,
                need: 1.0,
                prefetch: 0.0,
            };
            let now = start + Duration::from_millis(id);
            let _ = black_box(ledger.charge(&customer.name, &bucket, charge, now));
        }
    });
    println!(
        "{customers:>9} {:>9.2} ms {memory:>9.1} MiB {:>9.3} us {:>9.3} us",
        taken_in * 1e3,
        lookups * 1e3,
        charges * 1e3,
    );
}

/// Time of a rank of engines, and of an update and a look-up of a cache that is full.
fn prompts_row(engines: usize) {
    let ids: Vec<String> = (0..engines).map(|at| format!("i-{at:010x}")).collect();
    let prompts: Vec<PromptChain> = (0..1_000).map(prompt).collect();
    let rank = timed(20, || {
        for prompt in &prompts {
            let ids = ids.iter().map(String::as_str);
            black_box(first_by_prompt(prompt.leading_id(), ids, 2));
        }
    });
    let sent: Vec<SentPrompt> = prompts.iter().map(PromptChain::sent).collect();
    let mut cache = PromptCache::default();
    let update = timed(20, || {
        for prompt in &sent {
            cache.record(prompt);
            cache.shrink_to(300_000);
        }
    });
    let lookup = timed(20, || {
        for prompt in &prompts {
            black_box(cache.cached_tokens(prompt.segments()));
        }
    });
    let us = 1e6 / prompts.len() as f64;
    println!(
        "{engines:>6} engines: rank {:.2} us, update {:.3} us, look-up {:.3} us",
        rank * us,
        update * us,
        lookup * us
    );
}

/// A prompt of two shared parts and one of its own.
fn prompt(at: u64) -> PromptChain {
    let part = |id, tokens| PromptPart { id, tokens };
    let generation = Generation {
        model: format!("m0/a{}", at % 8),
        parts: vec![
            part(at % 10, 300),
            part(at % 50, 1_000),
            part(1_000 + at, 100),
        ],
        ..Generation::default()
    };
    PromptChain::of(&generation).expect("it has parts")
}

fn limited_customer(at: usize) -> Customer {
    Customer {
        name: format!("customer-{at:05}"),
        priority: 1,
        limit: Some(UseLimit {
            rate: 10_000.0,
            burst: 10_000.0,
            unit: UseUnit::Requests,
        }),
    }
}

fn row(
    adapters: usize,
    engines: usize,
    hosts: usize,
) {
    let before = resident_kib(std::process::id());
    let config = site(adapters, engines);
    let memory = (resident_kib(std::process::id()) - before) as f64 / 1024.0;
    let models: Vec<AdapterVersion> = (0..1_000).map(|at| model(at * adapters / 1_000)).collect();
    let route = timed(20, || {
        for model in &models {
            black_box(engine_candidates(&config, model));
        }
    });
    let names = host_names(hosts);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let assignment = timed(20, || {
        let targets = config.targets.keys().map(String::as_str);
        black_box(assign(targets, &names));
    });
    let change = Change::RetireAdapter { version: model(1) };
    let change = timed(20, || {
        black_box(config.with(std::slice::from_ref(&change)).unwrap());
    });
    println!(
        "{adapters:>9} {engines:>9} {hosts:>7} {:>14.2} {:>16.3} {:>14.3} {memory:>14.1}",
        route * 1e6 / models.len() as f64,
        assignment * 1e3,
        change * 1e3
    );
}

/// Median time of a round, in seconds.
fn timed(
    rounds: usize,
    mut round: impl FnMut(),
) -> f64 {
    let times = (0..rounds).map(|_| {
        let began = Instant::now();
        round();
        began.elapsed().as_secs_f64()
    });
    median(times.collect())
}

fn moves(
    targets: usize,
    hosts: usize,
) {
    let names: Vec<String> = (0..targets).map(|at| format!("engine-{at:03}")).collect();
    let all = host_names(hosts);
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    let before = assign(names.iter().map(String::as_str), &all);
    let mut moved = Vec::new();
    let mut least = Vec::new();
    for lost in 0..20.min(hosts) {
        let left: Vec<&str> = all
            .iter()
            .enumerate()
            .filter(|(at, _)| *at != lost)
            .map(|(_, name)| *name)
            .collect();
        let after = assign(names.iter().map(String::as_str), &left);
        let changed = names
            .iter()
            .filter(|name| before[name.as_str()] != after[name.as_str()]);
        moved.push(changed.count() as f64);
        least.push(before.values().filter(|owner| **owner == all[lost]).count() as f64);
    }
    let most = moved.iter().copied().fold(0.0, f64::max);
    println!(
        "{targets} targets, {hosts} hosts: median {}, most {most}, least possible median {}",
        median(moved),
        median(least)
    );
}

fn control_row(
    targets: usize,
    hosts: usize,
) {
    let look = vacant_look(targets, hosts);
    let (same, moved, settling) = view_times(targets, hosts);
    println!(
        "{targets:>6} engines, {hosts:>4} hosts: look {:.3} ms, view {:.3} and {:.3} ms, settling {:.3} ms",
        look * 1e3,
        same * 1e3,
        moved * 1e3,
        settling * 1e3
    );
}

fn address(at: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", at / 250, at % 250 + 1)
        .parse()
        .unwrap()
}

/// Time of a look at engines none of which has a holder, by a host that is last in turn for most.
fn vacant_look(
    engines: usize,
    hosts: usize,
) -> f64 {
    let now = Instant::now();
    let row = HostRow {
        peer: address(0),
        name: "host-0".to_string(),
        hall: "a".to_string(),
        front: address(0),
        process: 1,
        settled_era: 0,
    };
    let lease = Duration::from_secs(12);
    let empty = RowBatch {
        rows: Vec::new(),
        version: 1.into(),
        more: false,
    };
    let timings = LeaseTimings::new(lease, lease / 4, lease / 4);
    let mut holding = EngineAssignment::new(row, timings, now);
    holding.on_table_read(Some(&empty), 0, now);
    holding.on_renewed(now, Some(1.into()), now);
    holding.on_table_read(Some(&empty), 1, now);
    let engines =
        (0..engines).map(|at| (format!("engine-{at:04}"), address(at + 1_000).to_string()));
    let engines: Arc<BTreeMap<String, String>> = Arc::new(engines.collect());
    let takers: Vec<SocketAddr> = (0..hosts).map(address).collect();
    let mut look = || {
        let lease_of = |_| None;
        black_box(holding.decide(&engines, &takers, true, || engines.clone(), lease_of, now));
    };
    // What comes to this host first is taken, and pending from then on.
    look();
    timed(20, look)
}

/// Times until requests have taken a view over in which nothing or one holder has changed, and of one
/// order in which an adapter settles.
fn view_times(
    targets: usize,
    hosts: usize,
) -> (f64, f64, f64) {
    let target = |at: usize| {
        let record = TargetRecord {
            id: format!("engine-{at:04}"),
            started: None,
            service: "models".to_string(),
            software: SoftwareVersion::named("v1"),
            address: address(at + 1_000),
            hall: "a".to_string(),
            slots: 24,
            state: TargetState::Ready,
            remaining: None,
            models: Vec::new(),
            is_empty: false,
        };
        let view = TargetView {
            record: Arc::new(record),
            holder: Some(address(at % hosts)),
            usable_until: None,
        };
        (view.record.id.clone(), Arc::new(view))
    };
    let view = FleetView {
        targets: (0..targets).map(target).collect(),
        hosts,
        ..FleetView::default()
    };
    let (control, _told) = flume::unbounded();
    let settings = TargetTableSettings {
        first_start: false,
        budget_window: Duration::from_secs(10),
        budget_ratio: 0.2,
        budget_extra: 50.0,
        policy: Policy::default(),
        bounds: StalenessBounds {
            declared: Duration::from_secs(3),
            revoke: Duration::from_secs(5),
            targets: Duration::from_secs(2),
            version: Duration::from_secs(5),
        },
    };
    let mut table = TargetTable::new(settings, control);
    table.set_view(Arc::new(view.clone()));
    let same = timed(20, || table.set_view(Arc::new(view.clone())));
    let mut next = 0;
    let moved = timed(20, || {
        let mut view = view.clone();
        next += 1;
        if let Some(target) = view.targets.values_mut().next() {
            Arc::make_mut(target).holder = Some(address(next));
        }
        table.set_view(Arc::new(view));
    });
    let settling = timed(20, || {
        black_box(table.placement_order(
            ServiceEngines {
                service: "models",
                software: RequiredSoftware::Any,
            },
            "m0/a1",
            8,
            Instant::now(),
        ));
    });
    (same, moved, settling)
}

fn host_names(hosts: usize) -> Vec<String> {
    (0..hosts).map(|at| format!("host-{at:03}")).collect()
}

fn model(number: usize) -> AdapterVersion {
    format!("adapter-{number:06}@1").parse().unwrap()
}

fn site(
    adapters: usize,
    engines: usize,
) -> SiteConfig {
    let mut changes = vec![Change::DeclareAdapters {
        base_model: "base".into(),
        versions: (0..adapters).map(model).collect(),
    }];
    for at in 0..engines {
        changes.push(Change::SetTarget {
            name: format!("engine-{at:03}"),
            spec: TargetSpec {
                address: "127.0.0.1:9".parse().unwrap(),
                hall: "a".into(),
                role: TargetRole::Engine(EngineSpec {
                    base_model: "base".into(),
                    adapter_slots: 8,
                    batch_slots: 32,
                }),
                checks_fences: true,
                leaving: false,
            },
        });
    }
    SiteConfig::default().with(&changes).unwrap()
}

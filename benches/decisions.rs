//! What single decisions cost at today's size and at the size to come.
//!
//! `cargo bench --bench decisions`; medians of several rounds in one run.

#[path = "support/mod.rs"]
mod figures;

use {
    coveproxy::{
        process::ownership::assign,
        request::engine_candidates,
        version::{AdapterVersion, Change, EngineSpec, SiteConfig, TargetRole, TargetSpec},
    },
    figures::{median, resident_kib},
    std::{hint::black_box, time::Instant},
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

//! Which engine loads are sent to other hosts.

use {
    coveproxy::{
        clock::Instant, connection::datagram::EngineLoad, process::engines::PublishedLoads,
    },
    std::{net::SocketAddr, time::Duration},
};

fn host(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

fn load(
    target: &str,
    in_flight: u32,
) -> EngineLoad {
    EngineLoad {
        target: target.to_string(),
        in_flight,
        ..EngineLoad::default()
    }
}

#[test]
fn a_load_is_told_when_it_changes_and_again_after_a_second() {
    let mut published = PublishedLoads::default();
    let start = Instant::now();
    assert!(published.should_publish(host(1), &load("e", 1), start));
    assert!(!published.should_publish(host(1), &load("e", 1), start + Duration::from_millis(900)));
    assert!(published.should_publish(host(1), &load("e", 2), start + Duration::from_millis(950)));
    assert!(published.should_publish(host(1), &load("e", 2), start + Duration::from_millis(1_950)));
}

#[test]
fn each_host_is_told_of_each_engine() {
    let mut published = PublishedLoads::default();
    let now = Instant::now();
    assert!(published.should_publish(host(1), &load("e", 1), now));
    assert!(published.should_publish(host(2), &load("e", 1), now));
    assert!(published.should_publish(host(1), &load("f", 1), now));
}

#[test]
fn what_was_told_long_ago_is_forgotten() {
    let mut published = PublishedLoads::default();
    let start = Instant::now();
    published.should_publish(host(1), &load("e", 1), start);
    published.evict_expired(start + Duration::from_secs(3));
    assert!(published.should_publish(host(1), &load("e", 1), start + Duration::from_secs(3)));
}

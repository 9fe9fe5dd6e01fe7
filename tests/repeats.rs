//! The budget of repeats over all hosts of a site.

use {
    coveproxy::request::direct::ResendWindow,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);

const RATIO: f64 = 0.2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One host: its process, and how many hosts it reckons with.
struct Host {
    process: ResendWindow,
    hosts: usize,
}

impl Host {
    fn start(
        extra: f64,
        hosts: usize,
    ) -> Self {
        Self {
            process: ResendWindow::new(WINDOW, RATIO, extra),
            hosts,
        }
    }

    /// Repeats as often as it may; how often it did.
    fn repeat_all(
        &mut self,
        now: Instant,
    ) -> u32 {
        let mut count = 0;
        while self.process.allows(self.hosts, now) {
            self.process.on_repeat(now);
            count += 1;
        }
        count
    }
}

/// Callers of a site under load saw more repeats than it is allowed: half of its hosts were killed every
/// 1.5 s while targets turned requests away. Each process that started counted from nothing and had its
/// host's whole share of the allowance, which the process before it had spent in the same window.
#[test]
fn a_host_that_starts_again_has_no_second_share() {
    let start = Instant::now();
    let mut hosts: Vec<Host> = (0..6).map(|_| Host::start(60.0, 6)).collect();
    let mut repeats = 0;
    for step in 0..5 {
        let now = start + ms(1_500 * step);
        for host in hosts.iter_mut() {
            repeats += host.repeat_all(now);
        }
        for host in hosts.iter_mut().take(3) {
            *host = Host::start(60.0, 6);
        }
    }
    assert!(repeats <= 60, "{repeats} repeats in 7.5 s, 60 are allowed");
}

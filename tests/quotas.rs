//! Customer quotas over all hosts: a customer under overload never exceeds its limit and tolerance in any window,
//! whatever happens to hosts and messages, and a customer below its limit is hardly ever rejected.

use {
    coveproxy::{
        clock::Instant,
        request::quotas::{
            Charge, CustomerQuota, LIMIT_PARTS, QuotaLedger, QuotaPolicy, QuotaStep, TriedParts,
            shard_for, shard_lease, shard_of_lease,
        },
        version::routing::{UseLimit, UseUnit},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(8);

/// Time between the end of one host's lease and the start of the next.
const LEASE_GAP: Duration = Duration::from_secs(3);

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long requests wait for quota.
const WAIT_BUDGET: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn policy() -> QuotaPolicy {
    QuotaPolicy {
        window: WINDOW,
        tolerance: 0.1,
        slack: 11_000.0,
    }
}

fn limit(rate: f64) -> UseLimit {
    UseLimit {
        rate,
        burst: rate,
        unit: UseUnit::Tokens { untold: 200.0 },
    }
}

/// Faults of hosts and messages.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Probability that a message is lost, and the maximum delay of one.
    loss_rate: f64,
    max_delay: Duration,
    /// Messages are delivered twice.
    duplicated: bool,
    /// Time between two restarts of a process that counts a part.
    restarts: Option<Duration>,
    /// Time between two changes of the host that counts a part.
    takeovers: Option<Duration>,
    /// Probability that a request is not sent after it was granted; its refund is delivered twice.
    refunds: f64,
}

const NO_FAULTS: Faults = Faults {
    loss_rate: 0.0,
    max_delay: ms_const(3),
    duplicated: false,
    restarts: None,
    takeovers: None,
    refunds: 0.0,
};

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The host that counts a part of the limit.
struct Part {
    ledger: QuotaLedger,
    /// It counts from then on.
    from: Instant,
}

/// A request at the host where it arrived.
#[derive(Debug, Clone, Copy)]
struct Request {
    host: usize,
    cost: f64,
    /// It waits until then.
    wait_until: Instant,
}

/// A site whose hosts request quota for one customer.
struct Simulation {
    rng: StdRng,
    faults: Faults,
    limit: UseLimit,
    parts: Vec<Part>,
    hosts: Vec<CustomerQuota>,
    start: Instant,
    /// Waiting requests, and when they retry.
    waiting: Vec<(Instant, Request)>,
    /// When each request was admitted, and its cost.
    admitted: Vec<(Instant, f64)>,
    sent: usize,
    rejected: usize,
    unavailable: usize,
    messages: usize,
}

impl Simulation {
    fn new(
        seed: u64,
        hosts: usize,
        rate: f64,
        faults: Faults,
    ) -> Self {
        let start = Instant::now();
        let part = || Part {
            ledger: QuotaLedger::new(WINDOW, start),
            from: start,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            limit: limit(rate),
            parts: (0..LIMIT_PARTS).map(|_| part()).collect(),
            hosts: (0..hosts).map(CustomerQuota::new).collect(),
            start,
            waiting: Vec::new(),
            admitted: Vec::new(),
            sent: 0,
            rejected: 0,
            unavailable: 0,
            messages: 0,
        }
    }

    /// Simulates a customer that sends `demand` units per second.
    fn run(
        &mut self,
        demand: f64,
        time: Duration,
    ) {
        let mut now = self.start;
        let end = self.start + time;
        let mut next_restart = self.faults.restarts.map(|every| now + every);
        let mut next_takeover = self.faults.takeovers.map(|every| now + every);
        while now < end {
            let cost = f64::from(self.rng.random_range(200..5_300u32));
            // Exponential gaps: some requests arrive in bursts.
            let mean = cost / demand;
            let gap = -mean * self.rng.random_range(0.000_1..1.0f64).ln();
            now += Duration::from_secs_f64(gap);
            if next_restart.is_some_and(|at| now >= at) {
                self.restart(now);
                next_restart = self.faults.restarts.map(|every| now + every);
            }
            if next_takeover.is_some_and(|at| now >= at) {
                self.take_over(now);
                next_takeover = self.faults.takeovers.map(|every| now + every);
            }
            self.send_waiting(now);
            self.sent += 1;
            let host = self.rng.random_range(0..self.hosts.len());
            self.hosts[host].on_request(cost, now);
            let request = Request {
                host,
                cost,
                wait_until: now + WAIT_BUDGET,
            };
            self.send(request, now);
        }
    }

    /// Retries the waiting requests that are due, in order.
    fn send_waiting(
        &mut self,
        now: Instant,
    ) {
        loop {
            let due = self.waiting.iter().enumerate();
            let due = due.filter(|(_, (at, _))| *at <= now);
            let Some((first, _)) = due.min_by_key(|(_, (at, _))| *at) else {
                return;
            };
            let (at, request) = self.waiting.swap_remove(first);
            self.send(request, at);
        }
    }

    /// A process that counts a part restarts and keeps its lease.
    fn restart(
        &mut self,
        now: Instant,
    ) {
        let part = self.rng.random_range(0..LIMIT_PARTS);
        self.parts[part] = Part {
            ledger: QuotaLedger::new(WINDOW, now),
            from: now,
        };
    }

    /// Another host takes over a part, after the lease gap.
    fn take_over(
        &mut self,
        now: Instant,
    ) {
        let part = self.rng.random_range(0..LIMIT_PARTS);
        let from = now + LEASE_GAP;
        self.parts[part] = Part {
            ledger: QuotaLedger::new(WINDOW, from),
            from,
        };
    }

    fn send(
        &mut self,
        request: Request,
        mut now: Instant,
    ) {
        let Request { host, cost, .. } = request;
        let mut tried = TriedParts::default();
        let mut grant = None;
        loop {
            match self.hosts[host].next_step(cost, &tried, now) {
                QuotaStep::Prepaid => break,
                QuotaStep::Request { part, charge } => {
                    tried[part] = true;
                    let requested_at = now;
                    now += self.response_time();
                    if self.is_granted(host, part, charge, requested_at, now) {
                        grant = Some((part, charge.id));
                        break;
                    }
                }
                QuotaStep::OverLimit { retry_after } if now + retry_after <= request.wait_until => {
                    self.waiting.push((now + retry_after, request));
                    return;
                }
                QuotaStep::OverLimit { .. } => {
                    self.rejected += 1;
                    return;
                }
                QuotaStep::Unavailable => {
                    self.unavailable += 1;
                    return;
                }
            }
        }
        if self.rng.random_bool(self.faults.refunds) {
            let limits = policy().bucket(&self.limit);
            let Some((part, id)) = grant else {
                return;
            };
            for _ in 0..2 {
                let ledger = &mut self.parts[part].ledger;
                ledger.refund("c", &limits, id, cost, now);
            }
            return;
        }
        self.admit(cost, now);
    }

    /// Time until the response arrives, or the host stops waiting.
    fn response_time(&mut self) -> Duration {
        self.messages += 2;
        let delay = self
            .rng
            .random_range(Duration::ZERO..=self.faults.max_delay);
        delay.min(RESPONSE_TIMEOUT)
    }

    /// Charges the part; returns true if the host learns in time that it was granted.
    fn is_granted(
        &mut self,
        host: usize,
        part: usize,
        charge: Charge,
        requested_at: Instant,
        now: Instant,
    ) -> bool {
        let is_lost = self.rng.random_bool(self.faults.loss_rate);
        let counted = requested_at >= self.parts[part].from;
        let limits = policy().bucket(&self.limit);
        let ledger = &mut self.parts[part].ledger;
        if self.faults.duplicated && counted {
            let _ = ledger.charge("c", &limits, charge, now);
        }
        let charged = counted.then(|| ledger.charge("c", &limits, charge, now));
        let quota = &mut self.hosts[host];
        if is_lost
            || charged.is_none()
            || now.saturating_duration_since(requested_at) >= RESPONSE_TIMEOUT
        {
            quota.on_unresponsive(part, now);
            return false;
        }
        match charged.unwrap() {
            Ok(granted) => {
                quota.on_answer(part);
                quota.on_prefetched(granted - charge.need, requested_at);
                true
            }
            Err(retry_after) => {
                quota.on_over_limit(part, charge.need, retry_after, now);
                false
            }
        }
    }

    fn admit(
        &mut self,
        cost: f64,
        now: Instant,
    ) {
        self.admitted.push((now, cost));
    }

    /// Maximum usage admitted in any window.
    fn max_in_window(&mut self) -> f64 {
        self.admitted.sort_by_key(|(at, _)| *at);
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0f64);
        for (at, cost) in &self.admitted {
            sum += cost;
            while at.saturating_duration_since(self.admitted[first].0) >= WINDOW {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// A customer that sends eight times its limit is held to it under every combination of faults.
#[rstest]
#[case::calm(NO_FAULTS)]
#[case::losses(Faults { loss_rate: 0.3, max_delay: ms(150), duplicated: true, ..NO_FAULTS })]
#[case::restarts_each_half_second(Faults { restarts: Some(ms(500)), ..NO_FAULTS })]
#[case::restarts_each_three_seconds(Faults { restarts: Some(ms(3_000)), loss_rate: 0.1, ..NO_FAULTS })]
#[case::takeovers(Faults { takeovers: Some(ms(4_000)), ..NO_FAULTS })]
#[case::refunds(Faults { refunds: 0.3, loss_rate: 0.1, ..NO_FAULTS })]
#[case::all(Faults { loss_rate: 0.2, max_delay: ms(150), duplicated: true, restarts: Some(ms(700)), takeovers: Some(ms(5_000)), refunds: 0.2 })]
fn nobody_gets_more_than_the_limit_allows(
    #[case] faults: Faults,
    #[values(2_700.0, 20_000.0, 222_000.0)] rate: f64,
    #[values(2, 72, 300)] hosts: usize,
) {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, hosts, rate, faults);
        simulation.run(rate * 8.0, Duration::from_secs(30));
        let allowed = policy().allowed(&simulation.limit);
        let most = simulation.max_in_window();
        assert!(
            most <= allowed,
            "seed {seed}: {most} of {allowed} in a window"
        );
    }
}

/// A customer above its limit gets most of it, also while messages are lost.
#[rstest]
#[case::calm(NO_FAULTS, 0.9)]
#[case::losses(Faults { loss_rate: 0.05, ..NO_FAULTS }, 0.85)]
fn a_customer_above_its_limit_gets_the_limit(
    #[case] faults: Faults,
    #[case] min_share: f64,
    #[values(2_700.0, 222_000.0)] rate: f64,
) {
    let time = Duration::from_secs(60);
    let mut simulation = Simulation::new(7, 72, rate, faults);
    simulation.run(rate * 4.0, time);
    let tokens: f64 = simulation.admitted.iter().map(|(_, cost)| cost).sum();
    assert!(
        tokens >= min_share * rate * time.as_secs_f64(),
        "{tokens} of {}",
        rate * time.as_secs_f64()
    );
}

/// A customer below its limit is hardly ever rejected: more often where one request costs as much as the limit allows
/// in two seconds.
#[rstest]
#[case::large(222_000.0, 0.55, 0.001)]
#[case::middle(20_000.0, 0.55, 0.01)]
#[case::small(2_700.0, 0.4, 0.05)]
fn a_customer_below_its_limit_is_served(
    #[case] rate: f64,
    #[case] load: f64,
    #[case] rejected: f64,
) {
    let (mut sent, mut failed) = (0, 0);
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 72, rate, NO_FAULTS);
        // The site has run for a while, so that the buckets are full.
        simulation.start += Duration::from_secs(14);
        simulation.run(rate * load, Duration::from_secs(60));
        sent += simulation.sent;
        failed += simulation.rejected + simulation.unavailable;
    }
    let share = failed as f64 / sent as f64;
    println!("{failed} of {sent} rejected: {share:.4}");
    assert!(share <= rejected, "{failed} of {sent}");
}

/// A host that knows that a customer is over its limit rejects at once, with the time at which the bucket has enough.
#[test]
fn the_time_to_come_back_is_that_of_the_bucket() {
    let now = Instant::now();
    let mut quota = CustomerQuota::new(0);
    let tried = TriedParts::default();
    for part in 0..LIMIT_PARTS {
        quota.on_over_limit(part, 1_000.0, ms(400 + 100 * part as u64), now);
    }
    let step = quota.next_step(1_000.0, &tried, now + ms(100));
    assert_eq!(
        step,
        QuotaStep::OverLimit {
            retry_after: ms(300)
        }
    );
    // A smaller request may still be granted.
    let smaller = quota.next_step(200.0, &tried, now + ms(100));
    assert!(matches!(smaller, QuotaStep::Request { .. }), "{smaller:?}");
    let later = quota.next_step(1_000.0, &tried, now + ms(450));
    assert!(matches!(later, QuotaStep::Request { .. }), "{later:?}");
}

/// While the other parts are tried, the retry time of the first may pass: the request is still over the limit, not
/// unavailable.
#[test]
fn a_time_that_passes_while_others_are_asked_is_no_silence() {
    let now = Instant::now();
    let mut quota = CustomerQuota::new(0);
    let tried = [true; LIMIT_PARTS];
    for part in 0..LIMIT_PARTS {
        quota.on_over_limit(part, 1_000.0, ms(1), now);
    }
    let step = quota.next_step(1_000.0, &tried, now + ms(5));
    let retry_after = Duration::ZERO;
    assert_eq!(step, QuotaStep::OverLimit { retry_after });
    // Once the parts are unresponsive, their earlier responses no longer count.
    for part in 0..LIMIT_PARTS {
        quota.on_unresponsive(part, now + ms(5));
    }
    let step = quota.next_step(1_000.0, &tried, now + ms(6));
    assert_eq!(step, QuotaStep::Unavailable);
}

/// A request that costs more than the capacity is granted by a full bucket, which then is in debt.
#[test]
fn a_request_that_costs_more_than_the_bucket_holds_passes_a_full_one() {
    let start = Instant::now();
    let limits = policy().bucket(&limit(2_700.0));
    let mut ledger = QuotaLedger::new(WINDOW, start);
    let charge = Charge {
        id: 1,
        need: limits.capacity * 2.0,
        prefetch: 0.0,
    };
    assert!(ledger.charge("c", &limits, charge, start).is_err());
    let full = start + Duration::from_secs(60);
    assert!(ledger.charge("c", &limits, charge, full).is_ok());
    let small = Charge {
        id: 2,
        need: 1.0,
        prefetch: 0.0,
    };
    let retry_after = ledger.charge("c", &limits, small, full).unwrap_err();
    let paid_off = Duration::from_secs_f64((limits.capacity + 1.0) / limits.rate);
    let apart = retry_after.as_secs_f64() - paid_off.as_secs_f64();
    assert!(apart.abs() < 1e-6, "{retry_after:?} and {paid_off:?}");
}

/// A grant is refunded at most once.
#[test]
fn refunds_that_come_twice_bring_nothing() {
    let start = Instant::now();
    let limits = policy().bucket(&limit(2_700.0));
    let mut ledger = QuotaLedger::new(WINDOW, start);
    let now = start + Duration::from_secs(60);
    let charge = Charge {
        id: 1,
        need: 3_000.0,
        prefetch: 0.0,
    };
    let before = ledger.available("c", &limits, now);
    ledger.charge("c", &limits, charge, now).unwrap();
    // The charge is retransmitted, too.
    ledger.charge("c", &limits, charge, now).unwrap();
    assert_eq!(ledger.available("c", &limits, now), before - 3_000.0);
    for _ in 0..5 {
        ledger.refund("c", &limits, 1, 1_000.0, now);
    }
    assert_eq!(ledger.available("c", &limits, now), before - 2_000.0);
}

/// The parts of a customer's limit are in different shards, and lease names of shards differ from those of engines.
#[test]
fn parts_lie_in_slots_of_their_own() {
    for customer in ["a", "hule930", "c-17"] {
        let mut slots: Vec<usize> = (0..LIMIT_PARTS)
            .map(|part| shard_for(customer, part))
            .collect();
        slots.sort_unstable();
        slots.dedup();
        assert_eq!(slots.len(), LIMIT_PARTS);
    }
    assert_eq!(shard_of_lease(&shard_lease(5)), Some(5));
    assert_eq!(shard_of_lease("i-7f3a91c2"), None);
    assert_eq!(shard_of_lease("quota/99"), None);
}

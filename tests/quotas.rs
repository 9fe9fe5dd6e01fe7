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

const ASK_LIMIT: Duration = Duration::from_millis(100);

/// How long requests wait for quota.
const PATIENCE: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms() -> QuotaPolicy {
    QuotaPolicy {
        window: WINDOW,
        over: 0.1,
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
struct Trouble {
    /// Probability that a message is lost, and the maximum delay of one.
    lost: f64,
    slow: Duration,
    /// Messages are delivered twice.
    doubled: bool,
    /// Time between two restarts of a process that counts a part.
    restarts: Option<Duration>,
    /// Time between two changes of the host that counts a part.
    takeovers: Option<Duration>,
    /// Probability that a request is not sent after it was granted; its refund is delivered twice.
    refunds: f64,
}

const CALM: Trouble = Trouble {
    lost: 0.0,
    slow: ms_const(3),
    doubled: false,
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
    patience: Instant,
}

/// A site whose hosts request quota for one customer.
struct Play {
    rng: StdRng,
    trouble: Trouble,
    limit: UseLimit,
    parts: Vec<Part>,
    hosts: Vec<CustomerQuota>,
    start: Instant,
    /// Waiting requests, and when they retry.
    waiting: Vec<(Instant, Request)>,
    /// When each request was admitted, and its cost.
    passed: Vec<(Instant, f64)>,
    sent: usize,
    refused: usize,
    uncounted: usize,
    messages: usize,
}

impl Play {
    fn new(
        seed: u64,
        hosts: usize,
        rate: f64,
        trouble: Trouble,
    ) -> Self {
        let start = Instant::now();
        let part = || Part {
            ledger: QuotaLedger::new(WINDOW, start),
            from: start,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            trouble,
            limit: limit(rate),
            parts: (0..LIMIT_PARTS).map(|_| part()).collect(),
            hosts: (0..hosts).map(CustomerQuota::new).collect(),
            start,
            waiting: Vec::new(),
            passed: Vec::new(),
            sent: 0,
            refused: 0,
            uncounted: 0,
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
        let mut next_restart = self.trouble.restarts.map(|every| now + every);
        let mut next_takeover = self.trouble.takeovers.map(|every| now + every);
        while now < end {
            let cost = f64::from(self.rng.random_range(200..5_300u32));
            // Exponential gaps: some requests arrive in bursts.
            let mean = cost / demand;
            let gap = -mean * self.rng.random_range(0.000_1..1.0f64).ln();
            now += Duration::from_secs_f64(gap);
            if next_restart.is_some_and(|at| now >= at) {
                self.restart(now);
                next_restart = self.trouble.restarts.map(|every| now + every);
            }
            if next_takeover.is_some_and(|at| now >= at) {
                self.take_over(now);
                next_takeover = self.trouble.takeovers.map(|every| now + every);
            }
            self.send_waiting(now);
            self.sent += 1;
            let host = self.rng.random_range(0..self.hosts.len());
            self.hosts[host].on_request(cost, now);
            let request = Request {
                host,
                cost,
                patience: now + PATIENCE,
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
        let mut asked = TriedParts::default();
        let mut grant = None;
        loop {
            match self.hosts[host].next_step(cost, &asked, now) {
                QuotaStep::Paid => break,
                QuotaStep::Ask { part, charge } => {
                    asked[part] = true;
                    let asked_at = now;
                    now += self.time_of_answer();
                    if self.is_granted(host, part, charge, asked_at, now) {
                        grant = Some((part, charge.id));
                        break;
                    }
                }
                QuotaStep::Over { come_back } if now + come_back <= request.patience => {
                    self.waiting.push((now + come_back, request));
                    return;
                }
                QuotaStep::Over { .. } => {
                    self.refused += 1;
                    return;
                }
                QuotaStep::Uncounted => {
                    self.uncounted += 1;
                    return;
                }
            }
        }
        if self.rng.random_bool(self.trouble.refunds) {
            let terms = terms().bucket(&self.limit);
            let Some((part, id)) = grant else {
                return;
            };
            for _ in 0..2 {
                let ledger = &mut self.parts[part].ledger;
                ledger.refund("c", &terms, id, cost, now);
            }
            return;
        }
        self.pass(cost, now);
    }

    /// Time until the response arrives, or the host stops waiting.
    fn time_of_answer(&mut self) -> Duration {
        self.messages += 2;
        let way = self.rng.random_range(Duration::ZERO..=self.trouble.slow);
        way.min(ASK_LIMIT)
    }

    /// Charges the part; returns true if the host learns in time that it was granted.
    fn is_granted(
        &mut self,
        host: usize,
        part: usize,
        charge: Charge,
        asked_at: Instant,
        now: Instant,
    ) -> bool {
        let lost = self.rng.random_bool(self.trouble.lost);
        let counted = asked_at >= self.parts[part].from;
        let terms = terms().bucket(&self.limit);
        let ledger = &mut self.parts[part].ledger;
        if self.trouble.doubled && counted {
            let _ = ledger.charge("c", &terms, charge, now);
        }
        let charged = counted.then(|| ledger.charge("c", &terms, charge, now));
        let known = &mut self.hosts[host];
        if lost || charged.is_none() || now.saturating_duration_since(asked_at) >= ASK_LIMIT {
            known.on_silent(part, now);
            return false;
        }
        match charged.unwrap() {
            Ok(granted) => {
                known.on_answer(part);
                known.on_ahead(granted - charge.need, asked_at);
                true
            }
            Err(come_back) => {
                known.on_over(part, charge.need, come_back, now);
                false
            }
        }
    }

    fn pass(
        &mut self,
        cost: f64,
        now: Instant,
    ) {
        self.passed.push((now, cost));
    }

    /// Maximum usage admitted in any window.
    fn most_in_window(&mut self) -> f64 {
        self.passed.sort_by_key(|(at, _)| *at);
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0f64);
        for (at, cost) in &self.passed {
            sum += cost;
            while at.saturating_duration_since(self.passed[first].0) >= WINDOW {
                sum -= self.passed[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// A customer that sends eight times its limit is held to it under every combination of faults.
#[rstest]
#[case::calm(CALM)]
#[case::losses(Trouble { lost: 0.3, slow: ms(150), doubled: true, ..CALM })]
#[case::restarts_each_half_second(Trouble { restarts: Some(ms(500)), ..CALM })]
#[case::restarts_each_three_seconds(Trouble { restarts: Some(ms(3_000)), lost: 0.1, ..CALM })]
#[case::takeovers(Trouble { takeovers: Some(ms(4_000)), ..CALM })]
#[case::refunds(Trouble { refunds: 0.3, lost: 0.1, ..CALM })]
#[case::all(Trouble { lost: 0.2, slow: ms(150), doubled: true, restarts: Some(ms(700)), takeovers: Some(ms(5_000)), refunds: 0.2 })]
fn nobody_gets_more_than_the_limit_allows(
    #[case] trouble: Trouble,
    #[values(2_700.0, 20_000.0, 222_000.0)] rate: f64,
    #[values(2, 72, 300)] hosts: usize,
) {
    for seed in 0..40 {
        let mut play = Play::new(seed, hosts, rate, trouble);
        play.run(rate * 8.0, Duration::from_secs(30));
        let allowed = terms().allowed(&play.limit);
        let most = play.most_in_window();
        assert!(
            most <= allowed,
            "seed {seed}: {most} of {allowed} in a window"
        );
    }
}

/// A customer above its limit gets most of it, also while messages are lost.
#[rstest]
#[case::calm(CALM, 0.9)]
#[case::losses(Trouble { lost: 0.05, ..CALM }, 0.85)]
fn a_customer_above_its_limit_gets_the_limit(
    #[case] trouble: Trouble,
    #[case] least: f64,
    #[values(2_700.0, 222_000.0)] rate: f64,
) {
    let time = Duration::from_secs(60);
    let mut play = Play::new(7, 72, rate, trouble);
    play.run(rate * 4.0, time);
    let tokens: f64 = play.passed.iter().map(|(_, cost)| cost).sum();
    assert!(
        tokens >= least * rate * time.as_secs_f64(),
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
    #[case] refused: f64,
) {
    let (mut sent, mut not) = (0, 0);
    for seed in 0..20 {
        let mut play = Play::new(seed, 72, rate, CALM);
        // The site has run for a while, so that the buckets are full.
        play.start += Duration::from_secs(14);
        play.run(rate * load, Duration::from_secs(60));
        sent += play.sent;
        not += play.refused + play.uncounted;
    }
    let share = not as f64 / sent as f64;
    println!("{not} of {sent} refused: {share:.4}");
    assert!(share <= refused, "{not} of {sent}");
}

/// A host that knows that a customer is over its limit rejects at once, with the time at which the bucket has enough.
#[test]
fn the_time_to_come_back_is_that_of_the_bucket() {
    let now = Instant::now();
    let mut known = CustomerQuota::new(0);
    let asked = TriedParts::default();
    for part in 0..LIMIT_PARTS {
        known.on_over(part, 1_000.0, ms(400 + 100 * part as u64), now);
    }
    let step = known.next_step(1_000.0, &asked, now + ms(100));
    assert_eq!(step, QuotaStep::Over { come_back: ms(300) });
    // A smaller request may still be granted.
    let smaller = known.next_step(200.0, &asked, now + ms(100));
    assert!(matches!(smaller, QuotaStep::Ask { .. }), "{smaller:?}");
    let later = known.next_step(1_000.0, &asked, now + ms(450));
    assert!(matches!(later, QuotaStep::Ask { .. }), "{later:?}");
}

/// While the other parts are tried, the retry time of the first may pass: the request is still over the limit, not
/// uncounted.
#[test]
fn a_time_that_passes_while_others_are_asked_is_no_silence() {
    let now = Instant::now();
    let mut known = CustomerQuota::new(0);
    let asked = [true; LIMIT_PARTS];
    for part in 0..LIMIT_PARTS {
        known.on_over(part, 1_000.0, ms(1), now);
    }
    let step = known.next_step(1_000.0, &asked, now + ms(5));
    let come_back = Duration::ZERO;
    assert_eq!(step, QuotaStep::Over { come_back });
    // Once the parts are unresponsive, their earlier responses no longer count.
    for part in 0..LIMIT_PARTS {
        known.on_silent(part, now + ms(5));
    }
    let step = known.next_step(1_000.0, &asked, now + ms(6));
    assert_eq!(step, QuotaStep::Uncounted);
}

/// A request that costs more than the capacity is granted by a full bucket, which then is in debt.
#[test]
fn a_request_that_costs_more_than_the_bucket_holds_passes_a_full_one() {
    let start = Instant::now();
    let terms = terms().bucket(&limit(2_700.0));
    let mut ledger = QuotaLedger::new(WINDOW, start);
    let charge = Charge {
        id: 1,
        need: terms.capacity * 2.0,
        ahead: 0.0,
    };
    assert!(ledger.charge("c", &terms, charge, start).is_err());
    let full = start + Duration::from_secs(60);
    assert!(ledger.charge("c", &terms, charge, full).is_ok());
    let small = Charge {
        id: 2,
        need: 1.0,
        ahead: 0.0,
    };
    let come_back = ledger.charge("c", &terms, small, full).unwrap_err();
    let paid_off = Duration::from_secs_f64((terms.capacity + 1.0) / terms.rate);
    let apart = come_back.as_secs_f64() - paid_off.as_secs_f64();
    assert!(apart.abs() < 1e-6, "{come_back:?} and {paid_off:?}");
}

/// A grant is refunded at most once.
#[test]
fn refunds_that_come_twice_bring_nothing() {
    let start = Instant::now();
    let terms = terms().bucket(&limit(2_700.0));
    let mut ledger = QuotaLedger::new(WINDOW, start);
    let now = start + Duration::from_secs(60);
    let charge = Charge {
        id: 1,
        need: 3_000.0,
        ahead: 0.0,
    };
    let before = ledger.left("c", &terms, now);
    ledger.charge("c", &terms, charge, now).unwrap();
    // The charge is retransmitted, too.
    ledger.charge("c", &terms, charge, now).unwrap();
    assert_eq!(ledger.left("c", &terms, now), before - 3_000.0);
    for _ in 0..5 {
        ledger.refund("c", &terms, 1, 1_000.0, now);
    }
    assert_eq!(ledger.left("c", &terms, now), before - 2_000.0);
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

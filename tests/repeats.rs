//! The budget of repeats over all hosts of a site: no window has more repeats than allowed, whatever happens to hosts
//! and messages.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
        process::hosts::{FailureDetectionTimings, HostIdentity, HostTable},
        request::repeats::{
            BORROWED_TTL, MAX_ARRIVAL_DELAY, RepeatBudget, RepeatCharge, RepeatPolicy,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
};

const WINDOW: Duration = Duration::from_secs(10);

const RATIO: f64 = 0.2;

const STEP: Duration = Duration::from_millis(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn policy(extra: f64) -> RepeatPolicy {
    RepeatPolicy {
        window: WINDOW,
        ratio: RATIO,
        extra,
    }
}

#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    due: Instant,
    /// Id of the request to borrow, and the amount requested or lent.
    id: u64,
    amount: f64,
    is_response: bool,
}

struct Host {
    budget: RepeatBudget,
    /// The process is paused until then; its messages are queued.
    paused_until: Instant,
    /// The process is down until then.
    down_until: Option<Instant>,
    /// Partition of the network.
    partition: u32,
    /// Hosts still to ask in this round.
    lenders: Vec<usize>,
}

/// Hosts with their budgets, the messages between them, and the requests and repeats so far.
struct Site {
    policy: RepeatPolicy,
    now: Instant,
    rng: StdRng,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    /// Probability that a message is lost.
    loss_rate: f64,
    max_delay: Duration,
    requests: Vec<Instant>,
    arrivals: Vec<Instant>,
    borrow_requests: usize,
}

impl Site {
    /// Creates hosts that have their shares.
    fn new(
        hosts: usize,
        extra: f64,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let mut site = Self {
            policy: policy(extra),
            now,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            messages: Vec::new(),
            loss_rate: 0.0,
            max_delay: ms(5),
            requests: Vec::new(),
            arrivals: Vec::new(),
            borrow_requests: 0,
        };
        for _ in 0..hosts {
            site.add_host(now);
        }
        site.set_hosts();
        site
    }

    fn add_host(
        &mut self,
        share_from: Instant,
    ) {
        let first_id = self.rng.random();
        self.hosts.push(Host {
            budget: RepeatBudget::new(self.policy, share_from, first_id),
            paused_until: self.now,
            down_until: None,
            partition: 0,
            lenders: Vec::new(),
        });
    }

    /// All hosts are counted, also those that are down or partitioned.
    fn set_hosts(&mut self) {
        let count = self.hosts.len();
        for host in &mut self.hosts {
            host.budget.set_hosts(count);
        }
    }

    /// Restarts a host after a time.
    fn restart(
        &mut self,
        at: usize,
        down: Duration,
    ) {
        let started = self.now + down;
        let share_from = started + self.policy.share_delay(false);
        let first_id = self.rng.random();
        let count = self.hosts.len();
        let host = &mut self.hosts[at];
        host.budget = RepeatBudget::new(self.policy, share_from, first_id);
        host.budget.set_hosts(count);
        host.down_until = Some(started);
        self.messages
            .retain(|message| message.to != at || message.due >= started);
    }

    fn is_running(
        &self,
        at: usize,
    ) -> bool {
        let host = &self.hosts[at];
        host.down_until.is_none_or(|until| self.now >= until) && self.now >= host.paused_until
    }

    fn request(
        &mut self,
        at: usize,
    ) {
        if self.is_running(at) {
            self.hosts[at].budget.on_request(self.now);
            self.requests.push(self.now);
        }
    }

    /// Tries to repeat a request; returns true if it was charged.
    fn repeat(
        &mut self,
        at: usize,
    ) -> bool {
        if !self.is_running(at) {
            return false;
        }
        let charge = self.hosts[at].budget.charge(self.now);
        match charge {
            Some(charge) => self.arrive(&charge),
            None => {
                self.hosts[at].budget.on_waiting(self.now);
                self.hosts[at].budget.on_rejected(self.now);
            }
        }
        charge.is_some()
    }

    fn arrive(
        &mut self,
        charge: &RepeatCharge,
    ) {
        let lag = self.rng.random_range(Duration::ZERO..MAX_ARRIVAL_DELAY);
        self.arrivals.push(charge.charged_at + lag);
    }

    /// Advances the time by one step.
    fn step(&mut self) {
        self.now += STEP;
        for at in 0..self.hosts.len() {
            if self.is_running(at) {
                self.borrow(at);
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            self.deliver(message);
        }
    }

    fn borrow(
        &mut self,
        at: usize,
    ) {
        let (ids, amount) = self.hosts[at].budget.next_borrow_requests(self.now);
        for id in ids {
            self.borrow_requests += 1;
            if self.hosts[at].lenders.is_empty() {
                let mut others: Vec<usize> = (0..self.hosts.len()).collect();
                others.retain(|other| *other != at);
                others.shuffle(&mut self.rng);
                self.hosts[at].lenders = others;
            }
            if let Some(to) = self.hosts[at].lenders.pop() {
                self.send(at, to, id, amount, false);
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        id: u64,
        amount: f64,
        is_response: bool,
    ) {
        let max_delay = self.max_delay;
        let mut message = Message {
            from,
            to,
            due: self.now + self.rng.random_range(Duration::ZERO..max_delay),
            id,
            amount,
            is_response,
        };
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        self.messages.push(message.clone());
        // Some messages are delivered twice.
        if self.rng.random_bool(self.loss_rate / 2.0) {
            message.due += max_delay;
            self.messages.push(message);
        }
    }

    fn deliver(
        &mut self,
        mut message: Message,
    ) {
        let (from, to) = (message.from, message.to);
        if self.hosts[from].partition != self.hosts[to].partition {
            return;
        }
        if self.now < self.hosts[to].paused_until {
            message.due = self.hosts[to].paused_until;
            self.messages.push(message);
            return;
        }
        if !self.is_running(to) {
            return;
        }
        if message.is_response {
            let budget = &mut self.hosts[to].budget;
            budget.on_borrowed(message.id, message.amount, self.now);
            return;
        }
        let lent = self.hosts[to].budget.lend(message.amount, self.now);
        if lent > 0.0 {
            self.send(to, from, message.id, lent, true);
        }
    }

    /// Returns by how much the worst window exceeds its limit; negative if none does.
    fn worst_excess(&mut self) -> f64 {
        self.arrivals.sort_unstable();
        self.requests.sort_unstable();
        let within = |times: &[Instant], from: Instant, to: Instant| {
            let begin = times.partition_point(|at| *at < from);
            let end = times.partition_point(|at| *at < to);
            (end - begin) as f64
        };
        let mut worst = f64::MIN;
        for end in &self.arrivals {
            let end = *end + ms(1);
            let arrivals = within(&self.arrivals, end - WINDOW, end);
            // The requests of the window itself, of the one before it, or of half of each.
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW]
                .map(|back| within(&self.requests, end - back - WINDOW, end - back));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let allowed = RATIO * requests + self.policy.extra;
            worst = worst.max(arrivals - allowed);
        }
        worst
    }
}

/// A restarted process must not get a new share while what the previous one spent is in the same window.
#[test]
fn a_host_that_starts_again_has_no_second_share() {
    let mut site = Site::new(6, 60.0, 1);
    let mut repeats = 0;
    for _ in 0..5 {
        for at in 0..6 {
            while site.repeat(at) {
                repeats += 1;
            }
        }
        for at in 0..3 {
            site.restart(at, ms(500));
        }
        for _ in 0..30 {
            site.step();
        }
    }
    assert!(repeats > 40, "{repeats} repeats, most of 60 can be used");
    assert!(repeats <= 60, "{repeats} repeats in 7.5 s, 60 are allowed");
}

/// Faults of hosts and messages.
#[derive(Clone, Copy)]
struct Faults {
    restarts: f64,
    pauses: f64,
    partitions: f64,
    loss_rate: f64,
    max_delay: Duration,
    /// Probability per step that an idle host demands many repeats.
    demand: f64,
}

const NO_FAULTS: Faults = Faults {
    restarts: 0.0,
    pauses: 0.0,
    partitions: 0.0,
    loss_rate: 0.0,
    max_delay: Duration::from_millis(20),
    demand: 0.1,
};

/// Simulates two minutes.
fn simulate(
    site: &mut Site,
    faults: Faults,
) {
    site.loss_rate = faults.loss_rate;
    site.max_delay = faults.max_delay;
    let mut busy = 0;
    for _ in 0..2_400 {
        let count = site.hosts.len();
        if site.rng.random_bool(0.05) {
            busy = site.rng.random_range(0..count);
        }
        for _ in 0..site.rng.random_range(0..6) {
            let at = match site.rng.random_bool(0.7) {
                true => busy,
                false => site.rng.random_range(0..count),
            };
            site.request(at);
        }
        for at in 0..count {
            inject_faults(site, at, &faults);
            let demand = if at == busy { 0.5 } else { faults.demand };
            if site.rng.random_bool(demand) {
                let max_repeats = site.rng.random_range(1..60);
                let _ = (0..max_repeats).take_while(|_| site.repeat(at)).count();
            }
        }
        if site.rng.random_bool(faults.partitions) {
            let partitions = site.rng.random_range(1..4);
            for at in 0..count {
                site.hosts[at].partition = site.rng.random_range(0..partitions);
            }
        }
        site.step();
    }
}

fn inject_faults(
    site: &mut Site,
    at: usize,
    faults: &Faults,
) {
    if site.rng.random_bool(faults.restarts) {
        let down = ms(site.rng.random_range(50..3_000));
        site.restart(at, down);
    }
    if site.rng.random_bool(faults.pauses) {
        let pause = ms(site.rng.random_range(50..15_000));
        site.hosts[at].paused_until = site.now + pause;
    }
}

/// No window exceeds what its requests and the extra allowance allow, under any combination of faults and however
/// demand moves.
#[rstest]
#[case::calm(NO_FAULTS)]
#[case::kills(Faults { restarts: 0.02, demand: 0.5, ..NO_FAULTS })]
#[case::kills_now_and_then(Faults { restarts: 0.002, loss_rate: 0.1, ..NO_FAULTS })]
#[case::freezes(Faults { pauses: 0.005, ..NO_FAULTS })]
#[case::cuts(Faults { partitions: 0.02, restarts: 0.005, ..NO_FAULTS })]
#[case::late_messages(Faults { loss_rate: 0.2, max_delay: Duration::from_secs(4), demand: 0.02, ..NO_FAULTS })]
#[case::all(Faults {
    restarts: 0.003,
    pauses: 0.003,
    partitions: 0.01,
    loss_rate: 0.2,
    max_delay: Duration::from_secs(1),
    demand: 0.2,
})]
fn no_window_has_more_repeats_than_allowed(
    #[case] faults: Faults,
    #[values(2, 6, 40)] hosts: usize,
    #[values(52.0, 430.0)] extra: f64,
) {
    for seed in 0..8 {
        let mut site = Site::new(hosts, extra, seed);
        simulate(&mut site, faults);
        let excess = site.worst_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
    }
}

/// Hosts that join must not add to the allowance: their share starts a window later, when the others divide by more
/// hosts.
#[test]
fn hosts_that_join_bring_no_allowance() {
    let mut site = Site::new(4, 60.0, 3);
    for step in 0..1_200 {
        if step % 100 == 50 {
            let share_from = site.now + site.policy.share_delay(false);
            site.add_host(share_from);
        }
        // The others learn of the host within two seconds.
        if step % 100 == 90 {
            site.set_hosts();
        }
        for at in 0..site.hosts.len() {
            while site.repeat(at) {}
        }
        site.step();
    }
    let excess = site.worst_excess();
    assert!(excess <= 0.0, "{excess} too many");
}

/// On a large site a share is less than one repeat, so that demand at one host must be covered by borrowing: nearly all
/// of the allowance in the first window, at least half later, while lenders still count what they lent.
#[rstest]
#[case::of_a_large_site(300, 430.0)]
#[case::shares_far_below_one(300, 52.0)]
#[case::of_a_small_site(6, 52.0)]
fn loans_bring_the_allowance_to_where_it_is_needed(
    #[case] hosts: usize,
    #[case] extra: f64,
) {
    let mut site = Site::new(hosts, extra, 5);
    let mut repeats = [0; 6];
    for step in 0..1_200 {
        repeats[step / 200] += (0..3).take_while(|_| site.repeat(0)).count();
        site.step();
    }
    let first = f64::from(repeats[0] as u32) / extra;
    assert!((0.8..=1.0).contains(&first), "{first} in the first window");
    let later: usize = repeats[1..].iter().sum();
    let later = f64::from(later as u32) / 5.0 / extra;
    assert!((0.5..=1.0).contains(&later), "{later} in a window later on");
    assert!(site.worst_excess() <= 0.0);
    let messages = site.borrow_requests as f64 / 60.0;
    assert!(messages <= 81.0, "{messages} messages a second");
}

/// Hosts that all lack quota must not flood each other with requests.
#[test]
fn hosts_in_need_ask_seldom() {
    let mut site = Site::new(60, 52.0, 6);
    for _ in 0..400 {
        for at in 0..60 {
            site.repeat(at);
        }
        site.step();
    }
    let each = site.borrow_requests as f64 / 60.0 / 20.0;
    assert!(each < 8.0, "{each} messages a second and host");
}

/// Borrowed quota expires at a time counted from the request, and is added once.
#[rstest]
#[case::at_once(10, true)]
#[case::late(1_990, true)]
#[case::too_late(2_000, false)]
fn a_loan_is_good_for_a_time_from_the_asking(
    #[case] after: u64,
    #[case] is_valid: bool,
) {
    assert_eq!(BORROWED_TTL, ms(2_000));
    let start = Instant::now();
    let mut budget = RepeatBudget::new(policy(0.0), start, 7);
    budget.on_rejected(start);
    budget.on_waiting(start);
    let (ids, amount) = budget.next_borrow_requests(start);
    assert!(amount >= 1.0);
    let arrives = start + ms(after);
    assert_eq!(budget.on_borrowed(ids[0], 1.0, arrives), is_valid);
    assert!(
        !budget.on_borrowed(ids[0], 1.0, arrives),
        "response arrived twice"
    );
    assert!(
        !budget.on_borrowed(99, 1.0, arrives),
        "quota was not requested"
    );
    assert_eq!(budget.can_repeat(arrives), is_valid);
    assert!(!budget.can_repeat(start + BORROWED_TTL));
}

#[test]
fn requests_earn_repeats_and_shares_add_to_them() {
    let start = Instant::now();
    let repeats = |hosts: usize, requests: u32, extra: f64| {
        let mut budget = RepeatBudget::new(policy(extra), start, 0);
        budget.set_hosts(hosts);
        for _ in 0..requests {
            budget.on_request(start);
        }
        (0..1_000)
            .take_while(|_| budget.charge(start).is_some())
            .count()
    };
    assert_eq!(repeats(1, 0, 50.0), 45);
    assert_eq!(repeats(5, 0, 50.0), 9);
    // A tenth of a window's accrual can be kept: 1.8 of 18.
    assert_eq!(repeats(5, 100, 50.0), 10);
    // Sources add up: 0.9 of a share and 0.1 accrued.
    assert_eq!(repeats(10, 0, 10.0), 0);
    assert_eq!(repeats(10, 6, 10.0), 1);
    // Without known hosts there is no share.
    assert_eq!(repeats(0, 0, 50.0), 0);
}

/// Steady requests accrue steady repeats.
#[test]
fn steady_requests_earn_steady_repeats() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(policy(0.0), start, 0);
    let mut repeats = 0;
    for step in 0..3_000 {
        let now = start + ms(20 * step);
        budget.on_request(now);
        repeats += u32::from(budget.charge(now).is_some());
    }
    let part = f64::from(repeats) / 3_000.0;
    assert!((0.177..=0.183).contains(&part), "{part} repeats a request");
}

#[test]
fn a_repeat_that_never_left_is_given_back() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(policy(60.0), start, 0);
    budget.set_hosts(30);
    let first = budget.charge(start).unwrap();
    assert!(!budget.can_repeat(start));
    budget.refund(&first);
    assert!(budget.can_repeat(start));
    assert!(budget.charge(start).is_some());
    let lag = WINDOW + MAX_ARRIVAL_DELAY;
    assert!(!budget.can_repeat(start + lag));
    assert!(budget.can_repeat(start + lag + ms(600)));
}

fn address(host: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", host / 200, 1 + host % 200)
        .parse()
        .unwrap()
}

fn table(now: Instant) -> HostTable {
    let identity = HostIdentity {
        peer: address(0),
        name: "host-0".to_string(),
        hall: "hall".to_string(),
        front: address(0),
        process: 1,
        link_mbps: 10,
    };
    HostTable::new(identity, FailureDetectionTimings::default(), now)
}

fn rumor(
    host: usize,
    state: RumorState,
    counted: u32,
) -> HostRumor {
    HostRumor {
        peer: address(host).into(),
        name: format!("host-{host}"),
        front: address(host).into(),
        process: 1,
        state: state as i32,
        ready: true,
        counted,
        ..HostRumor::default()
    }
}

/// Hosts are counted long after they were last seen: otherwise each side of a partition would divide the allowance
/// among too few.
#[rstest]
#[case::just_heard(RumorState::Alive, 1, 8)]
#[case::cut_off_for_an_hour(RumorState::Alive, 3_600, 8)]
#[case::gone_for_good(RumorState::Alive, 7_300, 1)]
#[case::left_by_plan_just_now(RumorState::Leaving, 30, 8)]
#[case::left_by_plan(RumorState::Leaving, 200, 1)]
fn hosts_are_counted_for_long(
    #[case] state: RumorState,
    #[case] seconds: u64,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let mut table = table(start);
    for host in 1..8 {
        table.on_heard(&rumor(host, state, 0), start);
    }
    for second in 0..=seconds {
        table.on_tick(start + Duration::from_secs(second));
    }
    assert_eq!(table.known_count(), expected);
}

/// A process that has just started doesn't know of hosts that are down or partitioned, and takes the count of others.
/// It reports only its own count, so that a wrong count doesn't circulate for ever.
#[test]
fn a_process_that_starts_takes_the_count_of_others() {
    let start = Instant::now();
    let mut table = table(start);
    table.expect([address(1), address(2)].into_iter());
    assert_eq!(table.known_count(), 3);
    table.on_heard(&rumor(1, RumorState::Alive, 7), start);
    table.on_heard(&rumor(3, RumorState::Alive, 5), start);
    table.on_tick(start);
    assert_eq!(table.known_count(), 7);
    assert_eq!(table.local_rumor(Vec::new(), 0.into(), true).counted, 4);
    table.on_heard(&rumor(1, RumorState::Alive, 4), start + ms(50));
    assert_eq!(table.known_count(), 5);
}

//! The budget of repeats over all hosts of a site.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
        process::hosts::{FailureDetectionTimings, HostIdentity, HostTable},
        request::repeats::{ARRIVAL_LAG, BudgetTerms, LOAN_VALIDITY, Paid, RepeatBudget},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
};

const WINDOW: Duration = Duration::from_secs(10);

const RATIO: f64 = 0.2;

/// Time between two steps of a site.
const STEP: Duration = Duration::from_millis(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms(extra: f64) -> BudgetTerms {
    BudgetTerms {
        window: WINDOW,
        ratio: RATIO,
        extra,
    }
}

/// A message between two hosts.
#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    due: Instant,
    /// The loan's id, and the amount asked for or lent.
    id: u64,
    amount: f64,
    is_answer: bool,
}

struct Host {
    budget: RepeatBudget,
    /// It stands still until then; its messages wait.
    frozen_until: Instant,
    /// It has no process until then.
    down_until: Option<Instant>,
    /// Which side of a cut it is on.
    side: u32,
    /// Whom it asks next, each once a round.
    lenders: Vec<usize>,
}

/// Hosts with their budgets, messages that are lost and late, and all that callers and targets saw.
struct Site {
    terms: BudgetTerms,
    now: Instant,
    rng: StdRng,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    /// Share of messages that are lost.
    lost: f64,
    late: Duration,
    requests: Vec<Instant>,
    arrivals: Vec<Instant>,
    asked: usize,
}

impl Site {
    /// Hosts that have their shares.
    fn new(
        hosts: usize,
        extra: f64,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let mut site = Self {
            terms: terms(extra),
            now,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            messages: Vec::new(),
            lost: 0.0,
            late: ms(5),
            requests: Vec::new(),
            arrivals: Vec::new(),
            asked: 0,
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
        let first_ask = self.rng.random();
        self.hosts.push(Host {
            budget: RepeatBudget::new(self.terms, share_from, first_ask),
            frozen_until: self.now,
            down_until: None,
            side: 0,
            lenders: Vec::new(),
        });
    }

    /// All hosts know of all, those that are dead or cut off included.
    fn set_hosts(&mut self) {
        let count = self.hosts.len();
        for host in &mut self.hosts {
            host.budget.set_hosts(count);
        }
    }

    /// A host is killed, and starts again after a time.
    fn kill(
        &mut self,
        at: usize,
        down: Duration,
    ) {
        let started = self.now + down;
        let share_from = started + self.terms.share_after(false);
        let first_ask = self.rng.random();
        let count = self.hosts.len();
        let host = &mut self.hosts[at];
        host.budget = RepeatBudget::new(self.terms, share_from, first_ask);
        host.budget.set_hosts(count);
        host.down_until = Some(started);
        self.messages
            .retain(|message| message.to != at || message.due >= started);
    }

    fn runs(
        &self,
        at: usize,
    ) -> bool {
        let host = &self.hosts[at];
        host.down_until.is_none_or(|until| self.now >= until) && self.now >= host.frozen_until
    }

    fn request(
        &mut self,
        at: usize,
    ) {
        if self.runs(at) {
            self.hosts[at].budget.on_request(self.now);
            self.requests.push(self.now);
        }
    }

    /// A host wants to repeat a request; true if it did.
    fn repeat(
        &mut self,
        at: usize,
    ) -> bool {
        if !self.runs(at) {
            return false;
        }
        let paid = self.hosts[at].budget.pay(self.now);
        match paid {
            Some(paid) => self.arrive(&paid),
            None => {
                self.hosts[at].budget.on_wanted(self.now);
                self.hosts[at].budget.on_refused(self.now);
            }
        }
        paid.is_some()
    }

    fn arrive(
        &mut self,
        paid: &Paid,
    ) {
        let lag = self.rng.random_range(Duration::ZERO..ARRIVAL_LAG);
        self.arrivals.push(paid.at + lag);
    }

    /// Time passes: hosts ask, lend and borrow.
    fn step(&mut self) {
        self.now += STEP;
        for at in 0..self.hosts.len() {
            if self.runs(at) {
                self.ask(at);
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

    fn ask(
        &mut self,
        at: usize,
    ) {
        let (ids, amount) = self.hosts[at].budget.loans_to_ask(self.now);
        for id in ids {
            self.asked += 1;
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
        is_answer: bool,
    ) {
        let late = self.late;
        let mut message = Message {
            from,
            to,
            due: self.now + self.rng.random_range(Duration::ZERO..late),
            id,
            amount,
            is_answer,
        };
        if self.rng.random_bool(self.lost) {
            return;
        }
        self.messages.push(message.clone());
        // Some come twice.
        if self.rng.random_bool(self.lost / 2.0) {
            message.due += late;
            self.messages.push(message);
        }
    }

    fn deliver(
        &mut self,
        mut message: Message,
    ) {
        let (from, to) = (message.from, message.to);
        if self.hosts[from].side != self.hosts[to].side {
            return;
        }
        if self.now < self.hosts[to].frozen_until {
            message.due = self.hosts[to].frozen_until;
            self.messages.push(message);
            return;
        }
        if !self.runs(to) {
            return;
        }
        if message.is_answer {
            let budget = &mut self.hosts[to].budget;
            budget.on_loan(message.id, message.amount, self.now);
            return;
        }
        let lent = self.hosts[to].budget.lend(message.amount, self.now);
        if lent > 0.0 {
            self.send(to, from, message.id, lent, true);
        }
    }

    /// The most that a window had beyond what it is allowed; negative if all kept within it.
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
            // Those of the window count, or of the one before it or half before it.
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW]
                .map(|back| within(&self.requests, end - back - WINDOW, end - back));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let allowed = RATIO * requests + self.terms.extra;
            worst = worst.max(arrivals - allowed);
        }
        worst
    }
}

/// Callers of a site under load saw more repeats than it is allowed: half of its hosts were killed every
/// 1.5 s while targets turned requests away. Each process that started counted from nothing and had its
/// host's whole share of the allowance, which the process before it had spent in the same window.
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
            site.kill(at, ms(500));
        }
        for _ in 0..30 {
            site.step();
        }
    }
    assert!(repeats > 40, "{repeats} repeats, most of 60 can be used");
    assert!(repeats <= 60, "{repeats} repeats in 7.5 s, 60 are allowed");
}

/// What an adversary does to a site.
#[derive(Clone, Copy)]
struct Troubles {
    kills: f64,
    freezes: f64,
    cuts: f64,
    lost: f64,
    late: Duration,
    /// Every host wants as many repeats as it may have at a time.
    greed: f64,
}

const CALM: Troubles = Troubles {
    kills: 0.0,
    freezes: 0.0,
    cuts: 0.0,
    lost: 0.0,
    late: Duration::from_millis(20),
    greed: 0.1,
};

/// Two minutes of troubles.
fn play(
    site: &mut Site,
    troubles: Troubles,
) {
    site.lost = troubles.lost;
    site.late = troubles.late;
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
            trouble(site, at, &troubles);
            let greed = if at == busy { 0.5 } else { troubles.greed };
            if site.rng.random_bool(greed) {
                let most = site.rng.random_range(1..60);
                let _ = (0..most).take_while(|_| site.repeat(at)).count();
            }
        }
        if site.rng.random_bool(troubles.cuts) {
            let sides = site.rng.random_range(1..4);
            for at in 0..count {
                site.hosts[at].side = site.rng.random_range(0..sides);
            }
        }
        site.step();
    }
}

fn trouble(
    site: &mut Site,
    at: usize,
    troubles: &Troubles,
) {
    if site.rng.random_bool(troubles.kills) {
        let down = ms(site.rng.random_range(50..3_000));
        site.kill(at, down);
    }
    if site.rng.random_bool(troubles.freezes) {
        let still = ms(site.rng.random_range(50..15_000));
        site.hosts[at].frozen_until = site.now + still;
    }
}

/// Whatever is killed, frozen, cut off, lost or late, and however demand moves: no window has more repeats
/// than its requests and the extra allowance make up.
#[rstest]
#[case::calm(CALM)]
#[case::kills(Troubles { kills: 0.02, greed: 0.5, ..CALM })]
#[case::kills_now_and_then(Troubles { kills: 0.002, lost: 0.1, ..CALM })]
#[case::freezes(Troubles { freezes: 0.005, ..CALM })]
#[case::cuts(Troubles { cuts: 0.02, kills: 0.005, ..CALM })]
#[case::late_messages(Troubles { lost: 0.2, late: Duration::from_secs(4), greed: 0.02, ..CALM })]
#[case::all(Troubles {
    kills: 0.003,
    freezes: 0.003,
    cuts: 0.01,
    lost: 0.2,
    late: Duration::from_secs(1),
    greed: 0.2,
})]
fn no_window_has_more_repeats_than_allowed(
    #[case] troubles: Troubles,
    #[values(2, 6, 40)] hosts: usize,
    #[values(52.0, 430.0)] extra: f64,
) {
    for seed in 0..8 {
        let mut site = Site::new(hosts, extra, seed);
        play(&mut site, troubles);
        let excess = site.worst_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
    }
}

/// Hosts that join have a share after a window, when the others have long divided by more.
#[test]
fn hosts_that_join_bring_no_allowance() {
    let mut site = Site::new(4, 60.0, 3);
    for step in 0..1_200 {
        if step % 100 == 50 {
            let share_from = site.now + site.terms.share_after(false);
            site.add_host(share_from);
        }
        // The others hear of it within two seconds.
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

/// On a large site a share is less than one repeat. Repeats wanted at one host alone are paid for by loans:
/// of the site's allowance it gets nearly all in the first window, but the tenth that is held back for hosts
/// that are not known yet; later on lenders go without what they lent for longer than a window, and it gets
/// half at the least.
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
    // Six windows.
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
    let messages = site.asked as f64 / 60.0;
    assert!(messages <= 81.0, "{messages} messages a second");
}

/// Hosts that are all in need have nothing to lend, and must not flood each other with questions.
#[test]
fn hosts_in_need_ask_seldom() {
    let mut site = Site::new(60, 52.0, 6);
    for _ in 0..400 {
        for at in 0..60 {
            site.repeat(at);
        }
        site.step();
    }
    let each = site.asked as f64 / 60.0 / 20.0;
    assert!(each < 8.0, "{each} messages a second and host");
}

/// A loan can be spent until a time counted from when it was asked for, whenever it comes, and once.
#[rstest]
#[case::at_once(10, true)]
#[case::late(1_990, true)]
#[case::too_late(2_000, false)]
fn a_loan_is_good_for_a_time_from_the_asking(
    #[case] after: u64,
    #[case] good: bool,
) {
    assert_eq!(LOAN_VALIDITY, ms(2_000));
    let start = Instant::now();
    let mut budget = RepeatBudget::new(terms(0.0), start, 7);
    budget.on_refused(start);
    budget.on_wanted(start);
    let (ids, amount) = budget.loans_to_ask(start);
    assert!(amount >= 1.0);
    let comes = start + ms(after);
    assert_eq!(budget.on_loan(ids[0], 1.0, comes), good);
    assert!(!budget.on_loan(ids[0], 1.0, comes), "it came twice");
    assert!(!budget.on_loan(99, 1.0, comes), "it was not asked for");
    assert_eq!(budget.allows(comes), good);
    assert!(!budget.allows(start + LOAN_VALIDITY));
}

#[test]
fn requests_earn_repeats_and_shares_add_to_them() {
    let start = Instant::now();
    let repeats = |hosts: usize, requests: u32, extra: f64| {
        let mut budget = RepeatBudget::new(terms(extra), start, 0);
        budget.set_hosts(hosts);
        for _ in 0..requests {
            budget.on_request(start);
        }
        (0..1_000)
            .take_while(|_| budget.pay(start).is_some())
            .count()
    };
    assert_eq!(repeats(1, 0, 50.0), 45);
    assert_eq!(repeats(5, 0, 50.0), 9);
    // A tenth of what a window earns can be kept: 1.8 of 18.
    assert_eq!(repeats(5, 100, 50.0), 10);
    // Parts add up: 0.9 of a share and a tenth earned.
    assert_eq!(repeats(10, 0, 10.0), 0);
    assert_eq!(repeats(10, 6, 10.0), 1);
    // A host that knows of none has no share.
    assert_eq!(repeats(0, 0, 50.0), 0);
}

/// Requests pay for repeats at their own pace for as long as they come.
#[test]
fn steady_requests_earn_steady_repeats() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(terms(0.0), start, 0);
    let mut repeats = 0;
    for step in 0..3_000 {
        let now = start + ms(20 * step);
        budget.on_request(now);
        repeats += u32::from(budget.pay(now).is_some());
    }
    let part = f64::from(repeats) / 3_000.0;
    assert!((0.177..=0.183).contains(&part), "{part} repeats a request");
}

#[test]
fn a_repeat_that_never_left_is_given_back() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(terms(60.0), start, 0);
    budget.set_hosts(30);
    let first = budget.pay(start).unwrap();
    assert!(!budget.allows(start));
    budget.give_back(&first);
    assert!(budget.allows(start));
    assert!(budget.pay(start).is_some());
    let lag = WINDOW + ARRIVAL_LAG;
    assert!(!budget.allows(start + lag));
    assert!(budget.allows(start + lag + ms(600)));
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

/// Each side of a cut, and hosts that outlive others, would divide the allowance among too few.
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

/// A process that has just started does not know of hosts that are dead or cut off; the others do. What it
/// tells is its own count, so that a count that went round would not stay for ever.
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
    assert_eq!(table.local_rumor(Vec::new(), 0, true).counted, 4);
    table.on_heard(&rumor(1, RumorState::Alive, 4), start + ms(50));
    assert_eq!(table.known_count(), 5);
}

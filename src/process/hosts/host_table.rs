use {
    super::{HostIdentity, HostState, KnownHost, SiteSize},
    crate::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Hosts asked to ping one that does not answer, before it is suspected.
const HELPERS: usize = 2;

/// Rumors in one message, at the most.
const RUMORS_PER_MESSAGE: usize = 4;

/// Tellings of a rumor, as a multiple of the logarithm of the number of hosts.
const TELLINGS_FACTOR: u32 = 3;

/// Times between pings and until silence counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostTimings {
    /// Each host is pinged about once in this time, as long as `least_pause` allows.
    pub round: Duration,
    /// Shortest time between two pings.
    pub least_pause: Duration,
    /// Wait for the answer to a ping.
    pub answer: Duration,
    /// Wait for the helpers.
    pub helpers: Duration,
    /// Time that a suspect has to refute.
    pub refute: Duration,
    /// A host that was named and never heard is pinged again and again for so long.
    pub first_answer: Duration,
    /// A host that was dead for so long is forgotten.
    pub forget: Duration,
}

impl Default for HostTimings {
    fn default() -> Self {
        Self {
            round: Duration::from_millis(900),
            least_pause: Duration::from_millis(100),
            answer: Duration::from_millis(150),
            helpers: Duration::from_millis(200),
            refute: Duration::from_millis(400),
            first_answer: Duration::from_millis(1500),
            forget: Duration::from_secs(60),
        }
    }
}

/// What the table wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostAction {
    Ping { peer: SocketAddr },
    PingRequest { via: SocketAddr, peer: SocketAddr },
}

/// A change of what is believed of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostEvent {
    StateChanged {
        peer: SocketAddr,
        name: String,
        state: HostState,
    },
    /// Others believed this host gone.
    Refuted { incarnation: u32 },
}

/// A ping without an answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    since: Instant,
    helpers_asked: bool,
}

/// The hosts of the site as this one sees them, by pings and rumors in the manner of SWIM.
pub struct HostTable {
    me: HostIdentity,
    incarnation: u32,
    leaving: bool,
    timings: HostTimings,
    hosts: BTreeMap<SocketAddr, KnownHost>,
    round: Vec<SocketAddr>,
    next_ping: Option<Instant>,
    unanswered: BTreeMap<SocketAddr, Unanswered>,
    /// News to be told, by host, with how often it was told.
    news: BTreeMap<SocketAddr, u32>,
    events: Vec<HostEvent>,
    /// When a host last became known, or this one started.
    last_new: Instant,
    /// Grows when other engines may have a holder that answers.
    holds_epoch: u64,
    rng: StdRng,
    size: SiteSize,
}

impl HostTable {
    pub fn new(
        me: HostIdentity,
        timings: HostTimings,
        now: Instant,
    ) -> Self {
        Self {
            incarnation: 0,
            leaving: false,
            timings,
            hosts: BTreeMap::new(),
            round: Vec::new(),
            next_ping: None,
            unanswered: BTreeMap::new(),
            news: BTreeMap::new(),
            events: Vec::new(),
            last_new: now,
            holds_epoch: 0,
            rng: StdRng::seed_from_u64(me.process),
            size: SiteSize::default(),
            me,
        }
    }

    pub fn me(&self) -> &HostIdentity {
        &self.me
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The other hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values()
    }

    pub fn get(
        &self,
        peer: SocketAddr,
    ) -> Option<&KnownHost> {
        self.hosts.get(&peer)
    }

    /// As long as this is the same, the same hosts answer and hold the same engines.
    pub fn holds_epoch(&self) -> u64 {
        self.holds_epoch
    }

    /// Hosts that answer, this one included.
    pub fn up_count(&self) -> usize {
        1 + self.hosts().filter(|host| host.state.is_up()).count()
    }

    /// These hosts are thought to be there from the start.
    pub fn expect(
        &mut self,
        peers: impl Iterator<Item = SocketAddr>,
    ) {
        let me = self.me.peer;
        self.size.expect(peers.filter(|peer| *peer != me));
    }

    /// The largest number of hosts that this one, or one that it hears, has counted over a long time; this
    /// one included, and those that don't answer.
    pub fn known_count(&self) -> usize {
        let told = self.hosts().map(|host| host.counted).max();
        let told = told.map_or(0, |count| count as usize);
        self.size.counted().max(told)
    }

    /// True once no host has become known for so long.
    pub fn is_settled(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.last_new) >= time
    }

    /// Hosts that take new roles, this one included unless it leaves.
    pub fn eligible(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self
            .hosts()
            .filter(|host| host.state == HostState::Alive)
            .map(|host| host.identity.peer)
            .collect();
        if !self.leaving {
            peers.push(self.me.peer);
        }
        peers.sort_unstable();
        peers
    }

    /// This host's place among those that take new roles, in an order that all agree on: fast links
    /// first, since who comes first reads what is large for all others.
    pub fn place_by_link(&self) -> usize {
        let rank = |host: &HostIdentity| (Reverse(host.link_mbps), host.peer);
        let mine = rank(&self.me);
        self.hosts()
            .filter(|host| host.state == HostState::Alive)
            .filter(|host| rank(&host.identity) < mine)
            .count()
    }

    /// Some hosts that answer, drawn by chance.
    pub fn pick_up(
        &mut self,
        count: usize,
    ) -> Vec<SocketAddr> {
        let up = self.hosts().filter(|host| host.state.is_up());
        let mut peers: Vec<SocketAddr> = up.map(|host| host.identity.peer).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(count);
        peers
    }

    /// This host, as it is told of to others.
    pub fn my_rumor(
        &self,
        holds: Vec<String>,
        lease_version: u64,
        ready: bool,
    ) -> HostRumor {
        let state = match self.leaving {
            true => RumorState::Leaving,
            false => RumorState::Alive,
        };
        HostRumor {
            peer: self.me.peer.into(),
            name: self.me.name.clone(),
            hall: self.me.hall.clone(),
            front: self.me.front.into(),
            process: self.me.process,
            incarnation: self.incarnation,
            state: state as i32,
            holds,
            lease_version,
            ready,
            link_mbps: self.me.link_mbps,
            counted: u32::try_from(self.size.counted()).unwrap_or(u32::MAX),
        }
    }

    /// Changes since the last call.
    pub fn take_events(&mut self) -> Vec<HostEvent> {
        std::mem::take(&mut self.events)
    }

    /// Rumors for one message.
    pub fn take_rumors(&mut self) -> Vec<HostRumor> {
        let hosts = self.hosts.len() + 1;
        let limit = TELLINGS_FACTOR * (usize::BITS - hosts.leading_zeros());
        let mut least: Vec<(u32, SocketAddr)> = self
            .news
            .iter()
            .map(|(peer, told)| (*told, *peer))
            .collect();
        least.sort_unstable();
        least.truncate(RUMORS_PER_MESSAGE);
        let mut rumors = Vec::new();
        for (told, peer) in least {
            if let Some(host) = self.hosts.get(&peer) {
                rumors.push(host.to_rumor());
            }
            match told + 1 >= limit {
                true => self.news.remove(&peer),
                false => self.news.insert(peer, told + 1),
            };
        }
        rumors
    }

    /// This host begins its planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
    }

    /// Passes time: whom to ping now, and who has been silent for too long.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        let mut actions = self.follow_up(now);
        self.bury(now);
        self.size.count(self.hosts.keys(), now);
        if self.next_ping.is_none_or(|at| now >= at) {
            let pause = self.timings.round / self.hosts.len().max(1) as u32;
            self.next_ping = Some(now + pause.max(self.timings.least_pause));
            if let Some(peer) = self.next_in_round() {
                actions.push(self.ping(peer, now));
            }
        }
        actions
    }

    /// A host was named by the store; it is pinged if it was not known.
    pub fn on_named(
        &mut self,
        rumor: &HostRumor,
        now: Instant,
    ) -> Vec<HostAction> {
        let peer: SocketAddr = rumor.peer.into();
        if peer == self.me.peer || self.hosts.contains_key(&peer) {
            return Vec::new();
        }
        self.hosts.insert(peer, KnownHost::from_rumor(rumor, now));
        self.last_new = now;
        self.holds_epoch += 1;
        vec![self.ping(peer, now)]
    }

    /// A host told of itself.
    pub fn on_heard(
        &mut self,
        rumor: &HostRumor,
        now: Instant,
    ) {
        let peer: SocketAddr = rumor.peer.into();
        if peer == self.me.peer {
            return;
        }
        self.unanswered.remove(&peer);
        if !self.hosts.contains_key(&peer) {
            self.last_new = now;
            self.holds_epoch += 1;
        }
        let known = self
            .hosts
            .entry(peer)
            .or_insert_with(|| KnownHost::from_rumor(rumor, now));
        let restarted = known.identity.process != rumor.process;
        if !restarted && rumor.incarnation < known.incarnation {
            return;
        }
        let lease_changed = known.lease_version < rumor.lease_version;
        let held = std::mem::take(&mut known.holds);
        known.identity.process = rumor.process;
        known.identity.name.clone_from(&rumor.name);
        known.identity.hall.clone_from(&rumor.hall);
        known.identity.front = rumor.front.into();
        known.identity.link_mbps = rumor.link_mbps;
        known.incarnation = rumor.incarnation;
        known.holds.clone_from(&rumor.holds);
        known.heard = Some(now);
        known.counted = rumor.counted;
        match rumor.state() {
            RumorState::Leaving => self.size.on_leaving(peer, now),
            _ => self.size.on_heard(peer, now),
        }
        if lease_changed {
            known.lease_version = rumor.lease_version;
            known.lease_known_since = now;
        }
        let holds_changed = held != rumor.holds;
        self.holds_epoch += u64::from(holds_changed);
        let changed = restarted || known.ready != rumor.ready || holds_changed;
        known.ready = rumor.ready;
        let state = HostState::from_wire(rumor.state());
        if changed {
            self.news.insert(peer, 0);
        }
        self.set(peer, state, now);
    }

    /// A third host has heard from a host that did not answer this one.
    pub fn on_vouched(
        &mut self,
        peer: SocketAddr,
    ) {
        self.unanswered.remove(&peer);
    }

    /// News of a host from another one.
    pub fn on_rumor(
        &mut self,
        rumor: &HostRumor,
        now: Instant,
    ) -> Vec<HostAction> {
        let peer: SocketAddr = rumor.peer.into();
        let state = HostState::from_wire(rumor.state());
        if peer == self.me.peer {
            self.refute(rumor, state);
            return Vec::new();
        }
        let Some(known) = self.hosts.get_mut(&peer) else {
            if state == HostState::Dead {
                return Vec::new();
            }
            return self.on_named(rumor, now);
        };
        if known.identity.process != rumor.process {
            // Either news of a process that has ended, or of one not heard of yet: ask it.
            let asks = state.is_up() && known.state != HostState::Alive;
            return match asks {
                true => vec![self.ping(peer, now)],
                false => Vec::new(),
            };
        }
        let newer = rumor.incarnation > known.incarnation;
        let worse = rumor.incarnation == known.incarnation && state > known.state;
        if !newer && !worse {
            return Vec::new();
        }
        known.incarnation = rumor.incarnation;
        if newer {
            self.holds_epoch += u64::from(known.holds != rumor.holds);
            known.holds.clone_from(&rumor.holds);
            known.ready = rumor.ready;
        }
        if known.lease_version < rumor.lease_version {
            known.lease_version = rumor.lease_version;
            known.lease_known_since = now;
        }
        self.set(peer, state, now);
        Vec::new()
    }

    fn refute(
        &mut self,
        rumor: &HostRumor,
        state: HostState,
    ) {
        let wrong = state >= HostState::Suspect
            && rumor.process == self.me.process
            && rumor.incarnation >= self.incarnation;
        if wrong {
            self.incarnation = rumor.incarnation + 1;
            self.events.push(HostEvent::Refuted {
                incarnation: self.incarnation,
            });
        }
    }

    fn ping(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) -> HostAction {
        self.unanswered.entry(peer).or_insert(Unanswered {
            since: now,
            helpers_asked: false,
        });
        HostAction::Ping { peer }
    }

    /// Asks helpers about hosts that did not answer, and suspects those that still do not.
    fn follow_up(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        let mut actions = Vec::new();
        let waits: Vec<(SocketAddr, Unanswered)> = self
            .unanswered
            .iter()
            .map(|(peer, wait)| (*peer, *wait))
            .collect();
        for (peer, wait) in waits {
            let silent = now.saturating_duration_since(wait.since);
            if wait.helpers_asked && silent >= self.timings.answer + self.timings.helpers {
                self.unanswered.remove(&peer);
                match self.is_awaited(peer, now) {
                    true => actions.push(self.ping(peer, now)),
                    false => self.suspect(peer, now),
                }
            } else if !wait.helpers_asked && silent >= self.timings.answer {
                let asked = Unanswered {
                    helpers_asked: true,
                    ..wait
                };
                self.unanswered.insert(peer, asked);
                let helpers = self.pick_helpers(peer);
                let ask = |via| HostAction::PingRequest { via, peer };
                actions.extend(helpers.into_iter().map(ask));
                // The first ping may have been lost.
                actions.push(HostAction::Ping { peer });
            }
        }
        actions
    }

    /// True for a host that has not been heard since it was named, and may still be starting.
    fn is_awaited(
        &self,
        peer: SocketAddr,
        now: Instant,
    ) -> bool {
        let awaited = |host: &KnownHost| {
            let named = now.saturating_duration_since(host.since);
            host.heard.is_none() && named < self.timings.first_answer
        };
        self.hosts.get(&peer).is_some_and(awaited)
    }

    fn suspect(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        let known = self.hosts.get(&peer);
        if known.is_some_and(|known| known.state.is_up()) {
            self.set(peer, HostState::Suspect, now);
        }
    }

    fn bury(
        &mut self,
        now: Instant,
    ) {
        let silent = |host: &KnownHost| now.saturating_duration_since(host.since);
        let overdue: Vec<SocketAddr> = self
            .hosts()
            .filter(|host| host.state == HostState::Suspect)
            .filter(|host| match host.heard {
                Some(_) => silent(host) >= self.timings.refute,
                None => silent(host) >= self.timings.first_answer,
            })
            .map(|host| host.identity.peer)
            .collect();
        for peer in overdue {
            self.set(peer, HostState::Dead, now);
        }
        let forget = self.timings.forget;
        self.hosts
            .retain(|_, host| host.state != HostState::Dead || silent(host) < forget);
    }

    /// Each host comes once a round, in an order that changes.
    fn next_in_round(&mut self) -> Option<SocketAddr> {
        loop {
            if self.round.is_empty() {
                self.round = self.hosts.keys().copied().collect();
                self.round.shuffle(&mut self.rng);
            }
            let peer = self.round.pop()?;
            if self.hosts.contains_key(&peer) {
                return Some(peer);
            }
        }
    }

    fn pick_helpers(
        &mut self,
        peer: SocketAddr,
    ) -> Vec<SocketAddr> {
        let mut helpers = self.pick_up(HELPERS + 1);
        helpers.retain(|helper| *helper != peer);
        helpers.truncate(HELPERS);
        helpers
    }

    fn set(
        &mut self,
        peer: SocketAddr,
        state: HostState,
        now: Instant,
    ) {
        let Some(known) = self.hosts.get_mut(&peer) else {
            return;
        };
        if known.state == state {
            return;
        }
        known.state = state;
        known.since = now;
        self.holds_epoch += 1;
        if state == HostState::Leaving {
            self.size.on_leaving(peer, now);
        }
        if known.heard.is_some() {
            self.news.insert(peer, 0);
        }
        self.events.push(HostEvent::StateChanged {
            peer,
            name: known.identity.name.clone(),
            state,
        });
    }
}

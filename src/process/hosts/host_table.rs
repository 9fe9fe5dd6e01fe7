use {
    super::{
        HostIdentity, HostState, INITIAL_HOLDINGS_VERSION, KnownHost, MAX_LISTING_HOSTS, SiteSize,
    },
    crate::{
        clock::Instant,
        connection::datagram::{Holdings, HostRumor, RumorState},
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Maximum number of hosts asked to ping an unresponsive host before it is suspected.
const MAX_INDIRECT_PINGS: usize = 2;

const MAX_RUMORS_PER_MESSAGE: usize = 4;

/// The same on a large site, where rumors bear no lists and have 70 bytes each: the message fits into one packet. After
/// a partition hundreds of rumors are pending at once.
const MAX_RUMORS_PER_LARGE_SITE_MESSAGE: usize = 14;

/// Messages that bear rumors between two ticks on a large site. While a site starts, each host exchanges pings with all
/// others within a second, which would fill its link if all of them bore rumors.
const RUMOR_MESSAGES_PER_TICK: u32 = 2;

/// A host of a large site that others took for dead sends this number of messages to each host. Rumors alone take ten
/// seconds after a partition of 300 hosts, as hundreds are pending at once.
const RETURN_ANNOUNCEMENTS: u32 = 3;

/// Time between these messages, as each may be lost.
const RETURN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Transmissions of a rumor, as a multiple of the base-2 logarithm of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 3;

/// On a large site, an unanswered ping is repeated at this interval for `RESEND_TIME`.
///
/// Each host is pinged by somebody several times a second, and one suspicion is spread to all: with a tenth of the
/// datagrams lost and two pings, a hundred suspicions would arise each second among 300 hosts.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

const RESEND_TIME: Duration = Duration::from_millis(250);

/// Added to the time for a refutation on a large site: a suspicion has to reach the host and its refutation all others,
/// by rumors that go one hop further each 50 to 100 ms.
const RUMOR_SPREAD_TIME: Duration = Duration::from_millis(1_200);

/// Intervals and timeouts of failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureDetectionTimings {
    /// Interval in which each host is pinged about once, subject to `min_ping_interval`.
    pub round_interval: Duration,
    pub min_ping_interval: Duration,
    /// Wait for a direct answer, before other hosts are asked to ping.
    pub ping_timeout: Duration,
    /// Further wait for the indirect pings, before the host is suspected.
    pub indirect_ping_timeout: Duration,
    /// Time after which a suspect that has not refuted is declared dead.
    pub suspicion_timeout: Duration,
    /// Time for which a host that was never heard is pinged again before it can be declared dead.
    pub startup_timeout: Duration,
    /// Time after which a dead host is removed.
    pub dead_retention: Duration,
}

impl Default for FailureDetectionTimings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(900),
            min_ping_interval: Duration::from_millis(100),
            ping_timeout: Duration::from_millis(150),
            indirect_ping_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_millis(400),
            startup_timeout: Duration::from_millis(1500),
            dead_retention: Duration::from_secs(60),
        }
    }
}

/// A message that the caller must send for the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostAction {
    Ping {
        peer: SocketAddr,
    },
    /// Send `peer` a message that needs no answer.
    Notify {
        peer: SocketAddr,
    },
    /// Ask `via` to ping `peer`.
    PingRequest {
        via: SocketAddr,
        peer: SocketAddr,
    },
}

/// A change in the table's view of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostEvent {
    StateChanged {
        peer: SocketAddr,
        name: String,
        state: HostState,
    },
    /// This host refuted a rumor that it is suspect or dead.
    Refuted { incarnation: u32 },
}

/// A ping that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingPing {
    since: Instant,
    indirect_pings_sent: bool,
    /// Direct pings sent after the indirect ones.
    resends: u32,
}

/// Membership and state of the hosts of the site, maintained with SWIM-style pings and rumors.
pub struct HostTable {
    me: HostIdentity,
    incarnation: u32,
    leaving: bool,
    timings: FailureDetectionTimings,
    hosts: BTreeMap<SocketAddr, KnownHost>,
    ping_queue: Vec<SocketAddr>,
    next_ping: Option<Instant>,
    pending_pings: BTreeMap<SocketAddr, PendingPing>,
    /// Hosts whose rumors are to be sent, with the number of times each was sent.
    pending_rumors: BTreeMap<SocketAddr, u32>,
    /// Messages since the last tick that bore rumors.
    rumor_messages: u32,
    /// Messages still to be sent to each host, as others took this one for dead.
    return_announcements: u32,
    next_return_announcement: Option<Instant>,
    events: Vec<HostEvent>,
    /// When a host was last added; initially the start of this host.
    last_added: Instant,
    /// Incremented when the set of reachable hosts or the engines they control may have changed.
    holders_epoch: u64,
    rng: StdRng,
    size: SiteSize,
}

impl HostTable {
    pub fn new(
        me: HostIdentity,
        timings: FailureDetectionTimings,
        now: Instant,
    ) -> Self {
        Self {
            incarnation: 0,
            leaving: false,
            timings,
            hosts: BTreeMap::new(),
            ping_queue: Vec::new(),
            next_ping: None,
            pending_pings: BTreeMap::new(),
            pending_rumors: BTreeMap::new(),
            rumor_messages: 0,
            return_announcements: 0,
            next_return_announcement: None,
            events: Vec::new(),
            last_added: now,
            holders_epoch: 0,
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

    /// Returns the other hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values()
    }

    pub fn get(
        &self,
        peer: SocketAddr,
    ) -> Option<&KnownHost> {
        self.hosts.get(&peer)
    }

    /// Returns a counter that stays the same while the same hosts are reachable and control the same engines.
    pub fn holders_epoch(&self) -> u64 {
        self.holders_epoch
    }

    /// Returns the number of reachable hosts, including this one.
    pub fn reachable_count(&self) -> usize {
        1 + self.hosts().filter(|host| host.state.is_up()).count()
    }

    /// Adds hosts to the long-term count before they are heard.
    pub fn expect(
        &mut self,
        peers: impl Iterator<Item = SocketAddr>,
    ) {
        let me = self.me.peer;
        self.size.expect(peers.filter(|peer| *peer != me));
    }

    /// Returns the largest long-term host count of this host and the hosts that it hears, including this host
    /// and unreachable ones.
    pub fn known_count(&self) -> usize {
        let reported = self.hosts().map(|host| host.counted).max();
        let reported = reported.map_or(0, |count| count as usize);
        self.size.host_count().max(reported)
    }

    /// Returns true if no host has been added for at least `time`.
    pub fn is_settled(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.last_added) >= time
    }

    /// Returns the hosts that accept new roles, including this one unless it is leaving.
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

    /// Returns this host's rank among the hosts that accept new roles, by descending link bandwidth, then by
    /// address. All hosts agree on the order; the first reads large tables on behalf of the others.
    pub fn link_rank(&self) -> usize {
        let rank = |host: &HostIdentity| (Reverse(host.link_mbps), host.peer);
        let mine = rank(&self.me);
        self.hosts()
            .filter(|host| host.state == HostState::Alive)
            .filter(|host| rank(&host.identity) < mine)
            .count()
    }

    /// Returns up to `count` reachable hosts, chosen at random.
    pub fn pick_reachable(
        &mut self,
        count: usize,
    ) -> Vec<SocketAddr> {
        let up = self.hosts().filter(|host| host.state.is_up());
        let mut peers: Vec<SocketAddr> = up.map(|host| host.identity.peer).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(count);
        peers
    }

    /// Returns true if the lists of held engines are sent with each rumor; on a large site, only their versions are.
    pub fn lists_holdings(&self) -> bool {
        self.hosts.len() <= MAX_LISTING_HOSTS
    }

    /// Returns the hosts whose held engines are used by requests.
    ///
    /// On a large site these include suspects, as most of them refute: a query to a host that is gone costs less than a
    /// request that is rejected because no holder is known.
    pub fn claimants(&self) -> impl Iterator<Item = &KnownHost> {
        let uses_suspects = !self.lists_holdings();
        let is_suspect =
            |host: &KnownHost| host.state == HostState::Suspect && host.heard.is_some();
        self.hosts()
            .filter(move |host| host.state.is_up() || uses_suspects && is_suspect(host))
    }

    /// Returns the reachable other hosts with their processes.
    pub fn reachable_processes(&self) -> BTreeMap<SocketAddr, u64> {
        let up = self.hosts().filter(|host| host.state.is_up());
        up.map(|host| (host.identity.peer, host.identity.process))
            .collect()
    }

    /// Returns the rumors of all other hosts.
    pub fn all_rumors(&self) -> Vec<HostRumor> {
        self.hosts().map(|host| self.rumor_of(host)).collect()
    }

    fn rumor_of(
        &self,
        host: &KnownHost,
    ) -> HostRumor {
        let rumor = host.to_rumor();
        match self.lists_holdings() {
            true => rumor,
            false => HostRumor {
                holds: Vec::new(),
                holds_version: host.holds_version.max(INITIAL_HOLDINGS_VERSION),
                ..rumor
            },
        }
    }

    /// Returns the rumor that this host sends about itself.
    pub fn local_rumor(
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
            counted: u32::try_from(self.size.host_count()).unwrap_or(u32::MAX),
            holds_version: 0,
        }
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<HostEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the rumors for one message, those sent least often first.
    pub fn take_rumors(&mut self) -> Vec<HostRumor> {
        if !self.lists_holdings() {
            if self.rumor_messages >= RUMOR_MESSAGES_PER_TICK {
                return Vec::new();
            }
            self.rumor_messages += 1;
        }
        let hosts = self.hosts.len() + 1;
        let limit = RETRANSMIT_FACTOR * (usize::BITS - hosts.leading_zeros());
        let mut least_sent: Vec<(u32, SocketAddr)> = self
            .pending_rumors
            .iter()
            .map(|(peer, sends)| (*sends, *peer))
            .collect();
        least_sent.sort_unstable();
        least_sent.truncate(match self.lists_holdings() {
            true => MAX_RUMORS_PER_MESSAGE,
            false => MAX_RUMORS_PER_LARGE_SITE_MESSAGE,
        });
        let mut rumors = Vec::new();
        for (sends, peer) in least_sent {
            if let Some(host) = self.hosts.get(&peer) {
                rumors.push(self.rumor_of(host));
            }
            match sends + 1 >= limit {
                true => self.pending_rumors.remove(&peer),
                false => self.pending_rumors.insert(peer, sends + 1),
            };
        }
        rumors
    }

    /// Returns the rumor that a host is suspect or dead, to be sent to that host on a large site.
    ///
    /// The host refutes it, and the rumor of its higher incarnation reaches all others within seconds. Without that,
    /// each host learns that another one is back only by its own next ping, which takes 30 s among 300 hosts.
    pub fn accusation_of(
        &self,
        peer: SocketAddr,
    ) -> Option<HostRumor> {
        let host = self.hosts.get(&peer)?;
        let is_accused = !host.state.is_up() && host.heard.is_some() && !self.lists_holdings();
        is_accused.then(|| self.rumor_of(host))
    }

    /// Marks this host as leaving, for a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
    }

    /// Updates the states of unresponsive hosts and returns the pings that are due.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        self.rumor_messages = 0;
        let mut actions = self.check_pending_pings(now);
        actions.extend(self.ping_unrefuted_suspects(now));
        actions.extend(self.announce_return(now));
        self.expire_suspects(now);
        self.size.update(self.hosts.keys(), now);
        if self.next_ping.is_none_or(|at| now >= at) {
            let interval = self.timings.round_interval / self.hosts.len().max(1) as u32;
            self.next_ping = Some(now + interval.max(self.timings.min_ping_interval));
            if let Some(peer) = self.next_in_round() {
                actions.push(self.ping(peer, now));
            }
        }
        actions
    }

    /// Adds a host that was learned of indirectly and returns a ping to it, unless it is known already.
    pub fn on_discovered(
        &mut self,
        rumor: &HostRumor,
        now: Instant,
    ) -> Vec<HostAction> {
        let peer: SocketAddr = rumor.peer.into();
        if peer == self.me.peer || self.hosts.contains_key(&peer) {
            return Vec::new();
        }
        self.hosts.insert(peer, KnownHost::from_rumor(rumor, now));
        self.last_added = now;
        self.holders_epoch += 1;
        vec![self.ping(peer, now)]
    }

    /// Records a message received directly from a host.
    pub fn on_heard(
        &mut self,
        rumor: &HostRumor,
        now: Instant,
    ) {
        let peer: SocketAddr = rumor.peer.into();
        if peer == self.me.peer {
            return;
        }
        self.pending_pings.remove(&peer);
        if !self.hosts.contains_key(&peer) {
            self.last_added = now;
            self.holders_epoch += 1;
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
        known.identity.process = rumor.process;
        known.identity.name.clone_from(&rumor.name);
        known.identity.hall.clone_from(&rumor.hall);
        known.identity.front = rumor.front.into();
        known.identity.link_mbps = rumor.link_mbps;
        known.incarnation = rumor.incarnation;
        let holds_changed = apply_sent_holds(known, rumor, restarted);
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
        self.holders_epoch += u64::from(holds_changed);
        let changed = restarted || known.ready != rumor.ready || holds_changed;
        known.ready = rumor.ready;
        let state = HostState::from_wire(rumor.state());
        if changed {
            self.pending_rumors.insert(peer, 0);
        }
        self.set_state(peer, state, now);
    }

    /// Records that a host answered an indirect ping.
    pub fn on_indirect_answer(
        &mut self,
        peer: SocketAddr,
    ) {
        self.pending_pings.remove(&peer);
    }

    /// Applies a rumor that another host sent, and returns the pings that it calls for.
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
            return self.on_discovered(rumor, now);
        };
        if known.identity.process != rumor.process {
            // The process has either ended or is not known yet; a ping finds out which.
            let should_ping = state.is_up() && known.state != HostState::Alive;
            return match should_ping {
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
            if rumor.holds_version == 0 {
                self.holders_epoch += u64::from(known.holds != rumor.holds);
                known.holds.clone_from(&rumor.holds);
                known.holds_version = 0;
            }
            known.ready = rumor.ready;
        }
        if known.lease_version < rumor.lease_version {
            known.lease_version = rumor.lease_version;
            known.lease_known_since = now;
        }
        self.set_state(peer, state, now);
        Vec::new()
    }

    /// Applies the list of engines that a host sends of itself; returns true if it changes what is known.
    pub fn on_holdings(
        &mut self,
        peer: SocketAddr,
        holdings: &Holdings,
    ) -> bool {
        let Some(known) = self.hosts.get_mut(&peer) else {
            return false;
        };
        let is_current =
            known.identity.process == holdings.process && known.holds_version < holdings.version;
        if !is_current {
            return false;
        }
        known.holds_version = holdings.version;
        let has_changed = known.holds != holdings.holds;
        known.holds.clone_from(&holdings.holds);
        self.holders_epoch += u64::from(has_changed);
        has_changed
    }

    /// Returns the process of a host and the version of its list that is known; `None` for an unknown host.
    pub fn known_holdings(
        &self,
        peer: SocketAddr,
    ) -> Option<(u64, u32)> {
        let known = self.hosts.get(&peer)?;
        Some((known.identity.process, known.holds_version))
    }

    fn refute(
        &mut self,
        rumor: &HostRumor,
        state: HostState,
    ) {
        let is_dead = state == HostState::Dead && rumor.process == self.me.process;
        if is_dead && !self.lists_holdings() {
            // Also if a higher incarnation has refuted that: the sender does not know of it.
            self.return_announcements = RETURN_ANNOUNCEMENTS;
        }
        let is_refutable = state >= HostState::Suspect
            && rumor.process == self.me.process
            && rumor.incarnation >= self.incarnation;
        if is_refutable {
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
        self.pending_pings.entry(peer).or_insert(PendingPing {
            since: now,
            indirect_pings_sent: false,
            resends: 0,
        });
        HostAction::Ping { peer }
    }

    /// Requests indirect pings of hosts that missed a ping, and suspects those that missed these too.
    fn check_pending_pings(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        let mut actions = Vec::new();
        let pending: Vec<(SocketAddr, PendingPing)> = self
            .pending_pings
            .iter()
            .map(|(peer, ping)| (*peer, *ping))
            .collect();
        for (peer, ping) in pending {
            let silent = now.saturating_duration_since(ping.since);
            if ping.indirect_pings_sent && silent >= self.answer_timeout() {
                self.pending_pings.remove(&peer);
                match self.is_starting(peer, now) {
                    true => actions.push(self.ping(peer, now)),
                    false => {
                        self.suspect(peer, now);
                        actions.extend(self.ping_suspect(peer, now));
                    }
                }
            } else if !ping.indirect_pings_sent && silent >= self.timings.ping_timeout {
                let sent = PendingPing {
                    indirect_pings_sent: true,
                    ..ping
                };
                self.pending_pings.insert(peer, sent);
                let helpers = self.pick_helpers(peer);
                let request = |via| HostAction::PingRequest { via, peer };
                actions.extend(helpers.into_iter().map(request));
                // The first ping may have been lost.
                actions.push(HostAction::Ping { peer });
            } else if !self.lists_holdings() && silent >= resend_time(&self.timings, ping.resends) {
                let sent = PendingPing {
                    resends: ping.resends + 1,
                    ..ping
                };
                self.pending_pings.insert(peer, sent);
                actions.push(HostAction::Ping { peer });
            }
        }
        actions
    }

    /// Pings a suspect again on a large site, so that it learns of the suspicion from this host itself: rumors may
    /// reach it too late to refute, and this host would take it for dead until the next round.
    fn ping_suspect(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) -> Option<HostAction> {
        let is_suspect = self.hosts.get(&peer)?.state == HostState::Suspect;
        (is_suspect && !self.lists_holdings()).then(|| self.ping(peer, now))
    }

    /// Notifies all hosts, also those that seem dead, that this one is back after a partition.
    fn announce_return(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        let is_due = self.next_return_announcement.is_none_or(|at| now >= at);
        if self.return_announcements == 0 || !is_due {
            return Vec::new();
        }
        self.return_announcements -= 1;
        self.next_return_announcement = Some(now + RETURN_ANNOUNCEMENT_INTERVAL);
        let peers = self.hosts.keys().copied();
        peers.map(|peer| HostAction::Notify { peer }).collect()
    }

    /// Pings the suspects of a large site that have not refuted yet, shortly before they are declared dead.
    ///
    /// Most hosts know a suspicion only from rumors, and the refutation may reach some of them too late. A host that is
    /// wrongly taken for dead would be so until the next round.
    fn ping_unrefuted_suspects(
        &mut self,
        now: Instant,
    ) -> Vec<HostAction> {
        if self.lists_holdings() {
            return Vec::new();
        }
        let ping_after = self.suspicion_timeout() - self.answer_timeout();
        let is_unrefuted = |host: &&KnownHost| {
            host.state == HostState::Suspect
                && host.heard.is_some()
                && now.saturating_duration_since(host.since) >= ping_after
        };
        let unrefuted: Vec<SocketAddr> = self
            .hosts()
            .filter(is_unrefuted)
            .map(|host| host.identity.peer)
            .filter(|peer| !self.pending_pings.contains_key(peer))
            .collect();
        unrefuted
            .into_iter()
            .map(|peer| self.ping(peer, now))
            .collect()
    }

    /// Returns the time without an answer to a ping after which a host is suspected.
    fn answer_timeout(&self) -> Duration {
        let timeout = self.timings.ping_timeout + self.timings.indirect_ping_timeout;
        match self.lists_holdings() {
            true => timeout,
            false => timeout + RESEND_TIME,
        }
    }

    /// Returns the time that a suspect has to refute.
    fn suspicion_timeout(&self) -> Duration {
        match self.lists_holdings() {
            true => self.timings.suspicion_timeout,
            false => self.timings.suspicion_timeout + RUMOR_SPREAD_TIME,
        }
    }

    /// Returns true for a host that was never heard and may still be starting.
    fn is_starting(
        &self,
        peer: SocketAddr,
        now: Instant,
    ) -> bool {
        let starting = |host: &KnownHost| {
            let known_for = now.saturating_duration_since(host.since);
            host.heard.is_none() && known_for < self.timings.startup_timeout
        };
        self.hosts.get(&peer).is_some_and(starting)
    }

    fn suspect(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        let known = self.hosts.get(&peer);
        if known.is_some_and(|known| known.state.is_up()) {
            self.set_state(peer, HostState::Suspect, now);
        }
    }

    /// Declares overdue suspects dead and removes hosts that have been dead long enough.
    fn expire_suspects(
        &mut self,
        now: Instant,
    ) {
        let time_in_state = |host: &KnownHost| now.saturating_duration_since(host.since);
        let suspicion_timeout = self.suspicion_timeout();
        let overdue: Vec<SocketAddr> = self
            .hosts()
            .filter(|host| host.state == HostState::Suspect)
            .filter(|host| match host.heard {
                Some(_) => time_in_state(host) >= suspicion_timeout,
                None => time_in_state(host) >= self.timings.startup_timeout,
            })
            .map(|host| host.identity.peer)
            .collect();
        for peer in overdue {
            self.set_state(peer, HostState::Dead, now);
        }
        let retention = self.timings.dead_retention;
        self.hosts
            .retain(|_, host| host.state != HostState::Dead || time_in_state(host) < retention);
    }

    /// Returns the next host to ping; each host is pinged once per round, in random order.
    fn next_in_round(&mut self) -> Option<SocketAddr> {
        loop {
            if self.ping_queue.is_empty() {
                self.ping_queue = self.hosts.keys().copied().collect();
                self.ping_queue.shuffle(&mut self.rng);
            }
            let peer = self.ping_queue.pop()?;
            if self.hosts.contains_key(&peer) {
                return Some(peer);
            }
        }
    }

    fn pick_helpers(
        &mut self,
        peer: SocketAddr,
    ) -> Vec<SocketAddr> {
        let mut helpers = self.pick_reachable(MAX_INDIRECT_PINGS + 1);
        helpers.retain(|helper| *helper != peer);
        helpers.truncate(MAX_INDIRECT_PINGS);
        helpers
    }

    fn set_state(
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
        self.holders_epoch += 1;
        if state == HostState::Leaving {
            self.size.on_leaving(peer, now);
        }
        if known.heard.is_some() {
            self.pending_rumors.insert(peer, 0);
        }
        self.events.push(HostEvent::StateChanged {
            peer,
            name: known.identity.name.clone(),
            state,
        });
    }
}

/// Applies the held engines that a host sends with its own rumor; returns true if the list changes.
///
/// A rumor of a large site bears only the version of the list. The list that is known stays until the host has sent
/// the newer one, unless its process has ended.
fn apply_sent_holds(
    known: &mut KnownHost,
    rumor: &HostRumor,
    restarted: bool,
) -> bool {
    if rumor.holds_version == 0 {
        let has_changed = known.holds != rumor.holds;
        known.holds.clone_from(&rumor.holds);
        known.holds_version = 0;
        return has_changed;
    }
    let is_empty = rumor.holds_version == INITIAL_HOLDINGS_VERSION;
    let knows_list = known.holds_version > INITIAL_HOLDINGS_VERSION || !known.holds.is_empty();
    // A rumor that was overtaken by the first list must not empty it.
    if !restarted && (!is_empty || knows_list) {
        return false;
    }
    known.holds_version = match is_empty {
        true => INITIAL_HOLDINGS_VERSION,
        false => 0,
    };
    !std::mem::take(&mut known.holds).is_empty()
}

/// Returns when the next direct ping after the indirect ones is due.
fn resend_time(
    timings: &FailureDetectionTimings,
    resends: u32,
) -> Duration {
    timings.ping_timeout + RESEND_INTERVAL * (resends + 1)
}

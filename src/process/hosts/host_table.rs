use {
    super::{
        HostIdentity, HostState, KnownHost, SiteSize,
        large_site::{
            MAX_RUMORS_PER_LARGE_SITE_MESSAGE, RETURN_ANNOUNCEMENTS, RUMOR_MESSAGES_PER_TICK,
            apply_sent_holds, resend_time,
        },
    },
    crate::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
        formats::StoreVersion,
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Maximum number of hosts asked to ping an unresponsive host before it is suspected.
const MAX_INDIRECT_PINGS: usize = 2;

const MAX_RUMORS_PER_MESSAGE: usize = 4;

/// Transmissions of a rumor, as a multiple of the base-2 logarithm of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 3;

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
    /// A host that was believed to be alive all along runs in a new process.
    Restarted { peer: SocketAddr },
    /// This host refuted a rumor that it is suspect or dead.
    Refuted { incarnation: u32 },
}

/// A ping that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingPing {
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
    pub(super) timings: FailureDetectionTimings,
    pub(super) hosts: BTreeMap<SocketAddr, KnownHost>,
    ping_queue: Vec<SocketAddr>,
    next_ping: Option<Instant>,
    pub(super) pending_pings: BTreeMap<SocketAddr, PendingPing>,
    /// Hosts whose rumors are to be sent, with the number of times each was sent.
    pending_rumors: BTreeMap<SocketAddr, u32>,
    /// Messages with rumors since the last tick.
    rumor_messages: u32,
    /// Messages still to be sent to each host, as others considered this one dead.
    pub(super) return_announcements: u32,
    /// Earliest time of the next such message.
    pub(super) next_return_announcement: Option<Instant>,
    events: Vec<HostEvent>,
    /// When a host was last added; initially the start of this host.
    last_added: Instant,
    /// Incremented when the set of reachable hosts or the engines they control may have changed.
    pub(super) holders_epoch: u64,
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

    /// Returns the rumor that this host sends about itself.
    pub fn local_rumor(
        &self,
        holds: Vec<String>,
        lease_version: StoreVersion,
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
            lease_version: lease_version.to_bits(),
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
        let lease_version = StoreVersion::from_bits(rumor.lease_version);
        let lease_changed = known.lease_version < lease_version;
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
            known.lease_version = lease_version;
            known.lease_known_since = now;
        }
        self.holders_epoch += u64::from(holds_changed);
        let changed = restarted || known.ready != rumor.ready || holds_changed;
        known.ready = rumor.ready;
        let state = HostState::from_wire(rumor.state());
        if restarted && known.state == HostState::Alive && state == HostState::Alive {
            self.events.push(HostEvent::Restarted { peer });
        }
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
        let lease_version = StoreVersion::from_bits(rumor.lease_version);
        if known.lease_version < lease_version {
            known.lease_version = lease_version;
            known.lease_known_since = now;
        }
        self.set_state(peer, state, now);
        Vec::new()
    }

    fn refute(
        &mut self,
        rumor: &HostRumor,
        state: HostState,
    ) {
        let is_dead = state == HostState::Dead && rumor.process == self.me.process;
        if is_dead && !self.lists_holdings() {
            // Applies even if a higher incarnation has refuted that: the sender does not know of it.
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

    pub(super) fn ping(
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

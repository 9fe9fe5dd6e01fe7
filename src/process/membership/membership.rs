use {
    super::{Liveness, Member, Rumor, RumorQueue},
    crate::{
        clock::Instant,
        connection::platform::{HostState, ListedHost},
        process::settings::MembershipSettings,
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which a dead host that is not listed is remembered, so that its targets can be taken over.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of hosts asked to probe an unresponsive host before it is suspected.
const MAX_INDIRECT_PROBES: usize = 3;

/// A step that the caller must carry out for `Membership`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat and report the answer or the failure.
    Probe { host: String },
    /// Ask `via` to probe `host`.
    ProbeVia { via: String, host: String },
}

/// A change of a host's liveness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessChange {
    pub host: String,
    pub liveness: Liveness,
}

/// A change of a host's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingChange {
    pub host: String,
    /// `None` if the list leaves the host out.
    pub listed_as: Option<HostState>,
}

/// State of a host, as sent by the host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    pub host: String,
    pub incarnation: u64,
    /// Id of the process that runs on the host.
    pub session: u64,
    pub leaving: bool,
    pub table_reachable: bool,
    pub config_revision: u64,
}

/// Membership and liveness of the hosts of the site, maintained with SWIM-style probes and rumors.
///
/// One other host is probed in each period, so that the cost does not grow with the site.
pub struct Membership {
    me: String,
    incarnation: u64,
    leaving: bool,
    /// This host's own entry in the platform's list; `None` if the list leaves it out.
    listed_as: Option<HostState>,
    settings: MembershipSettings,
    members: BTreeMap<String, Member>,
    probe_queue: Vec<String>,
    /// Hosts that were listed since the last tick, probed at the next one.
    newly_listed: Vec<String>,
    next_probe: Option<Instant>,
    /// Number of outstanding indirect probes, by probed host.
    pending_probes: BTreeMap<String, usize>,
    rumors: RumorQueue,
    rng: StdRng,
    changes: Vec<LivenessChange>,
    listing_changes: Vec<ListingChange>,
}

impl Membership {
    pub fn new(
        me: &str,
        incarnation: u64,
        settings: MembershipSettings,
    ) -> Self {
        Self {
            me: me.to_string(),
            incarnation,
            leaving: false,
            // Until a list says otherwise.
            listed_as: Some(HostState::Live),
            settings,
            members: BTreeMap::new(),
            probe_queue: Vec::new(),
            newly_listed: Vec::new(),
            next_probe: None,
            pending_probes: BTreeMap::new(),
            rumors: RumorQueue::default(),
            rng: StdRng::seed_from_u64(incarnation),
            changes: Vec::new(),
            listing_changes: Vec::new(),
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the other hosts by name: the listed ones, and those left out of the list that were not dead for long.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Returns true if this host is to stay: it is listed as live, and no planned stop has begun.
    ///
    /// The other hosts judge by the same list, so that all agree on who may hold a role.
    pub fn accepts_roles(&self) -> bool {
        !self.leaving && self.listed_as == Some(HostState::Live)
    }

    /// Returns the hosts that accept new roles, including this one if it does.
    ///
    /// If the list names none of them to stay, the hosts that run are better than none.
    pub fn eligible(&self) -> Vec<&str> {
        let staying = self.select_hosts(self.accepts_roles(), Member::accepts_roles);
        match staying.is_empty() {
            true => self.select_hosts(!self.leaving, |_| true),
            false => staying,
        }
    }

    /// Returns the active hosts that `is_selected` selects, and this one if `selects_self`, by name.
    fn select_hosts(
        &self,
        selects_self: bool,
        is_selected: impl Fn(&Member) -> bool,
    ) -> Vec<&str> {
        let mut hosts: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_active() && is_selected(member))
            .map(|(name, _)| name.as_str())
            .collect();
        if selects_self {
            hosts.push(&self.me);
        }
        hosts.sort_unstable();
        hosts
    }

    /// Returns true if a host is dead or unknown.
    ///
    /// A host that the list leaves out is not gone while it answers: it serves its targets until it has handed them
    /// over.
    pub fn is_gone(
        &self,
        host: &str,
    ) -> bool {
        host != self.me
            && self
                .members
                .get(host)
                .is_none_or(|member| member.liveness == Liveness::Dead)
    }

    /// Returns true if a known host is dead and this host reaches a majority of the listed hosts.
    ///
    /// In a network partition this holds on at most one side; the other side must wait for leases to expire.
    pub fn is_confirmed_dead(
        &self,
        host: &str,
    ) -> bool {
        let answering = self
            .listed_members()
            .filter(|member| member.liveness < Liveness::Suspect)
            .count();
        let majority = 2 * (answering + 1) > self.listed_members().count() + 1;
        majority && self.members.contains_key(host) && self.is_gone(host)
    }

    /// Returns true if another reachable host can reach the shared table.
    pub fn any_peer_reaches_table(&self) -> bool {
        self.members
            .values()
            .any(|member| member.liveness < Liveness::Suspect && member.table_reachable)
    }

    /// Returns true if other hosts are listed and none of them is reachable.
    pub fn is_isolated(&self) -> bool {
        let mut listed = self.listed_members().peekable();
        listed.peek().is_some() && listed.all(|member| member.liveness >= Liveness::Suspect)
    }

    fn listed_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_listed)
    }

    /// Returns the liveness changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LivenessChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the changes of entries in the platform's list since the last call.
    pub fn take_listing_changes(&mut self) -> Vec<ListingChange> {
        std::mem::take(&mut self.listing_changes)
    }

    /// Returns the rumors for one outgoing heartbeat.
    pub fn take_rumors(&mut self) -> Vec<Rumor> {
        self.rumors.take(self.members.len() + 1)
    }

    /// Applies the platform's host list: adds new hosts, and marks those that are no longer listed.
    ///
    /// A list without any host is wrong, as this host runs; the last one remains in force.
    pub fn on_host_list(
        &mut self,
        hosts: Vec<ListedHost>,
        now: Instant,
    ) {
        if hosts.is_empty() {
            return;
        }
        let listed: BTreeSet<String> = hosts.iter().map(|host| host.name.clone()).collect();
        self.mark_unlisted(&listed);
        let own = hosts.iter().find(|host| host.name == self.me);
        self.update_own_listing(own.map(|host| host.state));
        for host in hosts {
            if host.name != self.me {
                self.update_listed(host, now);
            }
        }
    }

    /// Declares overdue suspects dead and returns the probes that are due.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<MembershipAction> {
        self.expire_suspects(now);
        self.remove_dead_unlisted(now);
        let mut hosts = std::mem::take(&mut self.newly_listed);
        if self.next_probe.is_none_or(|at| now >= at) {
            self.next_probe = Some(now + self.settings.probe);
            hosts.extend(self.next_in_round());
        }
        let probe = |host| MembershipAction::Probe { host };
        hosts.into_iter().map(probe).collect()
    }

    /// Records a heartbeat, received as a probe or as the answer to one.
    pub fn on_heartbeat(
        &mut self,
        heard: &Heartbeat,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(&heard.host) else {
            return;
        };
        if heard.incarnation < member.incarnation {
            return;
        }
        member.incarnation = heard.incarnation;
        member.session = heard.session;
        member.table_reachable = heard.table_reachable;
        member.config_revision = heard.config_revision;
        self.pending_probes.remove(&heard.host);
        let liveness = match heard.leaving {
            true => Liveness::Leaving,
            false => Liveness::Alive,
        };
        self.set_liveness(&heard.host, liveness, now);
    }

    /// Handles a failed probe: returns indirect probes to send, or suspects `host` if there is no helper.
    pub fn on_probe_failed(
        &mut self,
        host: &str,
        now: Instant,
    ) -> Vec<MembershipAction> {
        let is_reachable = self
            .members
            .get(host)
            .is_some_and(|member| member.liveness < Liveness::Suspect);
        if !is_reachable || self.pending_probes.contains_key(host) {
            return Vec::new();
        }
        let helpers = self.pick_helpers(host);
        if helpers.is_empty() {
            self.set_liveness(host, Liveness::Suspect, now);
            return Vec::new();
        }
        self.pending_probes.insert(host.to_string(), helpers.len());
        let request = |via| MembershipAction::ProbeVia {
            via,
            host: host.to_string(),
        };
        helpers.into_iter().map(request).collect()
    }

    /// Handles a failed indirect probe; `host` is suspected once all of them have failed.
    pub fn on_indirect_probe_failed(
        &mut self,
        host: &str,
        now: Instant,
    ) {
        let Some(remaining) = self.pending_probes.get_mut(host) else {
            return;
        };
        *remaining -= 1;
        if *remaining == 0 {
            self.pending_probes.remove(host);
            self.set_liveness(host, Liveness::Suspect, now);
        }
    }

    /// Handles a successful indirect probe of `host`.
    pub fn on_indirect_probe_succeeded(
        &mut self,
        host: &str,
    ) {
        self.pending_probes.remove(host);
    }

    /// Applies a rumor from another host; returns true if this host refuted it.
    pub fn on_rumor(
        &mut self,
        rumor: &Rumor,
        now: Instant,
    ) -> bool {
        if rumor.host == self.me {
            return self.refute(rumor);
        }
        let Some(member) = self.members.get_mut(&rumor.host) else {
            return false;
        };
        let newer = rumor.incarnation > member.incarnation;
        let worse = rumor.incarnation == member.incarnation && rumor.liveness > member.liveness;
        if newer || worse {
            member.incarnation = rumor.incarnation;
            self.set_liveness(&rumor.host, rumor.liveness, now);
        }
        false
    }

    /// Marks this host as leaving, for a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
        self.rumors.push(Rumor {
            host: self.me.clone(),
            incarnation: self.incarnation,
            liveness: Liveness::Leaving,
        });
    }

    fn refute(
        &mut self,
        rumor: &Rumor,
    ) -> bool {
        let is_refutable =
            rumor.liveness >= Liveness::Suspect && rumor.incarnation >= self.incarnation;
        if is_refutable {
            self.incarnation = rumor.incarnation + 1;
            let liveness = match self.leaving {
                true => Liveness::Leaving,
                false => Liveness::Alive,
            };
            self.rumors.push(Rumor {
                host: self.me.clone(),
                incarnation: self.incarnation,
                liveness,
            });
        }
        is_refutable
    }

    /// Marks the members that are not in `listed`.
    fn mark_unlisted(
        &mut self,
        listed: &BTreeSet<String>,
    ) {
        for (name, member) in &mut self.members {
            if member.is_listed && !listed.contains(name) {
                member.is_listed = false;
                self.listing_changes.push(ListingChange {
                    host: name.clone(),
                    listed_as: None,
                });
            }
        }
    }

    fn update_own_listing(
        &mut self,
        listed_as: Option<HostState>,
    ) {
        if self.listed_as == listed_as {
            return;
        }
        self.listed_as = listed_as;
        self.listing_changes.push(ListingChange {
            host: self.me.clone(),
            listed_as,
        });
    }

    /// Adds a listed host, or updates its entry.
    fn update_listed(
        &mut self,
        host: ListedHost,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(&host.name) else {
            return self.add(host, now);
        };
        if !member.is_listed || member.listed.state != host.state {
            self.listing_changes.push(ListingChange {
                host: host.name.clone(),
                listed_as: Some(host.state),
            });
        }
        member.is_listed = true;
        member.listed = host;
    }

    fn add(
        &mut self,
        host: ListedHost,
        now: Instant,
    ) {
        let name = host.name.clone();
        let member = Member {
            listed: host,
            is_listed: true,
            // Not considered alive until it is heard, so that nothing is routed to it yet.
            liveness: Liveness::Suspect,
            incarnation: 0,
            session: 0,
            since: now,
            table_reachable: false,
            config_revision: 0,
        };
        self.members.insert(name.clone(), member);
        self.newly_listed.push(name);
    }

    fn expire_suspects(
        &mut self,
        now: Instant,
    ) {
        let timeout = self.settings.suspect;
        let overdue: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Suspect)
            .filter(|(_, member)| now.saturating_duration_since(member.since) >= timeout)
            .map(|(name, _)| name.clone())
            .collect();
        for host in overdue {
            self.set_liveness(&host, Liveness::Dead, now);
        }
    }

    fn remove_dead_unlisted(
        &mut self,
        now: Instant,
    ) {
        self.members.retain(|_, member| {
            let dead_for = now.saturating_duration_since(member.since);
            member.is_listed || member.liveness != Liveness::Dead || dead_for < UNLISTED_RETENTION
        });
    }

    /// Returns the next host to probe; each host is probed once per round, in random order.
    fn next_in_round(&mut self) -> Option<String> {
        loop {
            if self.probe_queue.is_empty() {
                self.probe_queue = self.members.keys().cloned().collect();
                self.probe_queue.shuffle(&mut self.rng);
            }
            let host = self.probe_queue.pop()?;
            if self.members.contains_key(&host) {
                return Some(host);
            }
        }
    }

    fn pick_helpers(
        &mut self,
        host: &str,
    ) -> Vec<String> {
        let mut helpers: Vec<String> = self
            .members
            .iter()
            .filter(|(name, member)| *name != host && member.liveness < Liveness::Suspect)
            .map(|(name, _)| name.clone())
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(MAX_INDIRECT_PROBES);
        helpers
    }

    fn set_liveness(
        &mut self,
        host: &str,
        liveness: Liveness,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.liveness == liveness {
            return;
        }
        member.liveness = liveness;
        member.since = now;
        self.rumors.push(Rumor {
            host: host.to_string(),
            incarnation: member.incarnation,
            liveness,
        });
        self.changes.push(LivenessChange {
            host: host.to_string(),
            liveness,
        });
    }
}

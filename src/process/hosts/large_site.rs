//! What the host table does differently among more than `MAX_LISTING_HOSTS` other hosts.
//!
//! Load addressed: 300 hosts in front of 3,000 engines, with saturated links that lose datagrams. Lists of engines
//! don't fit into pings, a single loss must not make a host seem dead, and rumors alone take long to reach all hosts.

use {
    super::{
        FailureDetectionTimings, HostAction, HostState, HostTable, INITIAL_HOLDINGS_VERSION,
        KnownHost, MAX_LISTING_HOSTS,
    },
    crate::{
        clock::Instant,
        connection::datagram::{Holdings, HostRumor},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Maximum number of rumors in a message of a large site. Rumors contain no lists there and take 70 bytes each, so that
/// the message fits into one packet. After a partition, hundreds of rumors are pending at once.
pub(super) const MAX_RUMORS_PER_LARGE_SITE_MESSAGE: usize = 14;

/// Maximum number of messages with rumors between two ticks on a large site. While a site starts, each host exchanges
/// pings with all others within a second, which would saturate its link if all of them contained rumors.
pub(super) const RUMOR_MESSAGES_PER_TICK: u32 = 2;

/// Number of messages that a host of a large site sends to each host after others considered it dead. Rumors alone take
/// ten seconds after a partition of 300 hosts, as hundreds are pending at once.
pub(super) const RETURN_ANNOUNCEMENTS: u32 = 3;

/// Time between two such messages; they are repeated because each may be lost.
const RETURN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an unanswered ping is repeated on a large site, until the host is suspected.
///
/// Each host is pinged several times a second, and each suspicion spreads to all hosts: with a tenth of the datagrams
/// lost and only two pings, 300 hosts would cause a hundred suspicions each second.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Added to the time for an answer on a large site, so that repeated pings can be answered.
const RESEND_TIME: Duration = Duration::from_millis(250);

/// Added to the time for a refutation on a large site: the suspicion has to reach the suspect, and the refutation all
/// others, by rumors that advance one hop each 50 to 100 ms.
const RUMOR_SPREAD_TIME: Duration = Duration::from_millis(1_200);

impl HostTable {
    /// Returns true if the lists of held engines are sent with each rumor; on a large site, only their versions are.
    pub fn lists_holdings(&self) -> bool {
        self.hosts.len() <= MAX_LISTING_HOSTS
    }

    /// Returns the hosts whose held engines are used by requests. If several claim an engine, the last one counts as
    /// its holder.
    ///
    /// On a large site these include suspects, as most of them refute: a query to a failed host costs less than a
    /// request that is rejected because no holder is known.
    pub fn claimants(&self) -> impl Iterator<Item = &KnownHost> {
        let uses_suspects = !self.lists_holdings();
        let is_suspect =
            |host: &KnownHost| host.state == HostState::Suspect && host.heard.is_some();
        let suspects = self
            .hosts()
            .filter(move |host| uses_suspects && is_suspect(host));
        suspects.chain(self.hosts().filter(|host| host.state.is_up()))
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

    /// Returns the rumor of a host; on a large site, with the version of its list instead of the list.
    pub(super) fn rumor_of(
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

    /// Pings a suspect again on a large site, so that it learns of the suspicion from this host itself: rumors may
    /// reach it too late to refute, and this host would consider it dead until the next round.
    pub(super) fn ping_suspect(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) -> Option<HostAction> {
        let is_suspect = self.hosts.get(&peer)?.state == HostState::Suspect;
        (is_suspect && !self.lists_holdings()).then(|| self.ping(peer, now))
    }

    /// Returns the time without an answer to a ping after which a host is suspected.
    pub(super) fn answer_timeout(&self) -> Duration {
        let timeout = self.timings.ping_timeout + self.timings.indirect_ping_timeout;
        match self.lists_holdings() {
            true => timeout,
            false => timeout + RESEND_TIME,
        }
    }

    /// Returns the time that a suspect has to refute.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        match self.lists_holdings() {
            true => self.timings.suspicion_timeout,
            false => self.timings.suspicion_timeout + RUMOR_SPREAD_TIME,
        }
    }

    /// Notifies all hosts, including those that seem dead, that this one is reachable again after a partition.
    pub(super) fn announce_return(
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
    /// Most hosts learn of a suspicion only by rumors, and the refutation may reach some of them too late. These would
    /// wrongly consider the suspect dead until the next round.
    pub(super) fn ping_unrefuted_suspects(
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
}

/// Applies the held engines that a host sends with its own rumor; returns true if the list changes.
///
/// A rumor of a large site contains only the version of the list. The known list stays until the host has sent the
/// newer one, unless its process has ended.
pub(super) fn apply_sent_holds(
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
pub(super) fn resend_time(
    timings: &FailureDetectionTimings,
    resends: u32,
) -> Duration {
    timings.ping_timeout + RESEND_INTERVAL * (resends + 1)
}

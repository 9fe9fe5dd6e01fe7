//! Control-thread handling of the lists of held engines that hosts of a large site send one another.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::datagram::{Holdings, HoldingsKnown, HostRumor, Message},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Minimum time between two versions of the list, as a host takes its engines in several transactions.
const HOLDINGS_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

impl HostControl {
    /// Returns the engines and quota shards that this host holds.
    pub(super) fn local_holdings(
        &self,
        now: Instant,
    ) -> Vec<String> {
        let held = self.assignment.held(now);
        held.map(|(target, _)| target.clone()).collect()
    }

    /// Sends the list of the engines and quota shards held here to the hosts that have not confirmed it.
    pub(super) fn spread_holdings(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        if now >= self.next_holdings_publish && self.holdings.set(self.local_holdings(now)) {
            self.next_holdings_publish = now + HOLDINGS_UPDATE_INTERVAL;
        }
        let reachable = self.hosts.reachable_processes();
        let receivers = self.holdings.due(&reachable, now);
        let holdings = Holdings {
            process: self.hosts.me().process,
            version: self.holdings.version(),
            holds: match receivers.is_empty() {
                true => Vec::new(),
                false => self.holdings.holds().to_vec(),
            },
        };
        receivers
            .into_iter()
            .map(|to| ControlAction::Send {
                to,
                message: Message::Holdings(holdings.clone()),
            })
            .collect()
    }

    /// Applies another host's list and confirms it.
    pub(super) fn on_holdings(
        &mut self,
        from: SocketAddr,
        holdings: &Holdings,
    ) -> Option<ControlAction> {
        self.changed |= self.hosts.on_holdings(from, holdings);
        let (process, version) = self.hosts.known_holdings(from)?;
        // The list of an unknown process is not confirmed, so that it is sent again; the next ping makes the process
        // known.
        (process == holdings.process).then(|| known_message(from, process, version))
    }

    /// Handles another host's message about the version of this host's list that it knows.
    pub(super) fn on_holdings_known(
        &mut self,
        from: SocketAddr,
        known: HoldingsKnown,
        now: Instant,
    ) {
        if known.process == self.hosts.me().process {
            self.holdings.on_known(from, known.version, now);
        }
    }

    /// Requests the list of a host whose rumor names a newer version than the known one.
    pub(super) fn request_holdings(
        &self,
        sender: &HostRumor,
    ) -> Option<ControlAction> {
        let peer = sender.peer.into();
        let (process, version) = self.hosts.known_holdings(peer)?;
        let is_newer = process == sender.process && version < sender.holds_version;
        is_newer.then(|| known_message(peer, process, version))
    }
}

fn known_message(
    to: SocketAddr,
    process: u64,
    version: u32,
) -> ControlAction {
    ControlAction::Send {
        to,
        message: Message::HoldingsKnown(HoldingsKnown { process, version }),
    }
}

//! Spreads the list of the engines held here to all hosts of a large site.
//!
//! Load addressed: several hundred hosts that take several thousand engines within a second. A list in each ping and in
//! each rumor would cost bytes in proportion to hosts times engines, and a lost datagram would be made up for only by
//! the next ping, which takes 30 s among 300 hosts. A list is therefore sent to each host once per change, and again
//! until that host confirms it.

use {
    crate::clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, ops::Bound, time::Duration},
};

/// Up to this number of other hosts, lists are sent with each ping; above it, lists are sent by `HoldingsSpread`.
///
/// A ping with five lists of 7 engines takes 1 kB, and a change is sent to all hosts: with 100 of them, that saturates
/// a link of 10 Mbit/s for 80 ms.
pub const MAX_LISTING_HOSTS: usize = 100;

/// Version of the empty list with which each process starts.
pub const INITIAL_HOLDINGS_VERSION: u32 = 1;

/// Time after which an unconfirmed list is sent again. It is longer than a round trip behind a burst on a slow link.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Number of transmissions at the short interval. Of datagrams lost at 10% each, all eight are lost once in 10^8.
const QUICK_SENDS: u32 = 8;

/// Interval of further transmissions, to a host that does not confirm but is not considered dead either.
const SLOW_RESEND_INTERVAL: Duration = Duration::from_secs(3);

/// Share of the link that lists may use, so that a burst of them delays no other datagram for long.
const LINK_SHARE: f64 = 0.2;

/// Bandwidth assumed where it is unknown: that of the slowest links of hosts.
const DEFAULT_LINK_MBPS: u32 = 10;

/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Time for which unused allowance accumulates, so that a burst stays short.
const MAX_ALLOWANCE_TIME: Duration = Duration::from_millis(100);

/// Size of a message without engine ids, including the IP and UDP headers, in bytes.
const MESSAGE_OVERHEAD: usize = 50;

/// Bytes per engine id besides the id itself: tag and length.
const ID_OVERHEAD: usize = 2;

/// What is known of one other host's knowledge of the list.
#[derive(Debug, Clone, Copy)]
struct Receiver {
    /// Its process; a later process knows nothing of what the earlier one confirmed.
    process: u64,
    confirmed_version: u32,
    sent_version: u32,
    sends: u32,
    next_send: Instant,
}

/// The list of engines held here, its version, and the hosts that have confirmed it.
#[derive(Debug)]
pub struct HoldingsSpread {
    holds: Vec<String>,
    version: u32,
    bytes_per_s: f64,
    receivers: BTreeMap<SocketAddr, Receiver>,
    /// The host that was sent the list last. All hosts start after their own address, so that hosts that change
    /// together don't send to the same host at the same moment.
    last_sent: SocketAddr,
    /// Bytes that may be sent now; negative after a list that is larger than the allowance.
    allowance: f64,
    allowance_at: Instant,
}

impl HoldingsSpread {
    /// Creates the empty list of the host at `local`; a `link_mbps` of 0 stands for an unknown bandwidth.
    pub fn new(
        local: SocketAddr,
        link_mbps: u32,
        now: Instant,
    ) -> Self {
        let link_mbps = match link_mbps {
            0 => DEFAULT_LINK_MBPS,
            mbps => mbps,
        };
        Self {
            holds: Vec::new(),
            version: INITIAL_HOLDINGS_VERSION,
            bytes_per_s: f64::from(link_mbps) * BYTES_PER_MBIT * LINK_SHARE,
            receivers: BTreeMap::new(),
            last_sent: local,
            allowance: 0.0,
            allowance_at: now,
        }
    }

    /// Returns the ids of the engines held here.
    pub fn holds(&self) -> &[String] {
        &self.holds
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Sets the list; returns true if it has changed.
    pub fn set(
        &mut self,
        holds: Vec<String>,
    ) -> bool {
        let has_changed = self.holds != holds;
        if has_changed {
            self.holds = holds;
            self.version += 1;
        }
        has_changed
    }

    /// Handles a host's message about the version that it knows: a confirmation, or a request if it is older.
    pub fn on_known(
        &mut self,
        peer: SocketAddr,
        version: u32,
        now: Instant,
    ) {
        let Some(receiver) = self.receivers.get_mut(&peer) else {
            return;
        };
        if version < self.version && receiver.confirmed_version == self.version {
            // It confirmed the list and has lost it since.
            receiver.sends = 0;
            receiver.next_send = now;
        }
        receiver.confirmed_version = version;
    }

    /// Returns the hosts to send the list to now; `reachable` holds the reachable hosts with their processes.
    pub fn due(
        &mut self,
        reachable: &BTreeMap<SocketAddr, u64>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.receivers
            .retain(|peer, receiver| reachable.get(peer) == Some(&receiver.process));
        self.refill_allowance(now);
        let message_bytes = self.message_bytes() as f64;
        let after = (Bound::Excluded(self.last_sent), Bound::Unbounded);
        let until = (Bound::Unbounded, Bound::Included(self.last_sent));
        let mut due = Vec::new();
        for (peer, process) in reachable.range(after).chain(reachable.range(until)) {
            if self.allowance <= 0.0 {
                break;
            }
            let receiver = self.receivers.entry(*peer).or_insert(Receiver {
                process: *process,
                confirmed_version: INITIAL_HOLDINGS_VERSION,
                sent_version: INITIAL_HOLDINGS_VERSION,
                sends: 0,
                next_send: now,
            });
            if receiver.send_if_due(self.version, now) {
                self.allowance -= message_bytes;
                due.push(*peer);
            }
        }
        self.last_sent = due.last().copied().unwrap_or(self.last_sent);
        due
    }

    fn refill_allowance(
        &mut self,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(self.allowance_at);
        self.allowance_at = now;
        let max_allowance = self.bytes_per_s * MAX_ALLOWANCE_TIME.as_secs_f64();
        let refilled = self.allowance + self.bytes_per_s * elapsed.as_secs_f64();
        self.allowance = refilled.min(max_allowance);
    }

    fn message_bytes(&self) -> usize {
        let ids = self.holds.iter().map(|id| id.len() + ID_OVERHEAD);
        MESSAGE_OVERHEAD + ids.sum::<usize>()
    }
}

impl Receiver {
    /// Returns true if this version is to be sent now, and records the transmission.
    fn send_if_due(
        &mut self,
        version: u32,
        now: Instant,
    ) -> bool {
        if self.confirmed_version == version {
            return false;
        }
        if self.sent_version != version {
            self.sent_version = version;
            self.sends = 0;
            self.next_send = now;
        }
        if now < self.next_send {
            return false;
        }
        self.sends = self.sends.saturating_add(1);
        self.next_send = now
            + match self.sends < QUICK_SENDS {
                true => RESEND_INTERVAL,
                false => SLOW_RESEND_INTERVAL,
            };
        true
    }
}

use {
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for which a host is counted after its last message. It outlasts a network partition between regions:
/// a host behind one still spends its share of allowances that are divided among all hosts.
const HEARD_RETENTION: Duration = Duration::from_secs(2 * 3600);

/// Time for which a leaving host is counted. Its process ends within seconds, and the allowance it spent
/// stays charged for a window after that.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

/// Long-term count of the hosts of a site, as seen by one host.
#[derive(Debug, Default)]
pub struct SiteSize {
    /// Other hosts that were heard, with the time until which each is counted.
    counted_until: BTreeMap<SocketAddr, Instant>,
    /// Hosts that are counted before they are heard.
    expected: BTreeSet<SocketAddr>,
    host_count: usize,
}

impl SiteSize {
    /// Adds hosts to count before they are heard.
    pub fn expect(
        &mut self,
        peers: impl Iterator<Item = SocketAddr>,
    ) {
        self.expected.extend(peers);
        self.host_count = 1 + self.expected.len();
    }

    pub fn on_heard(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        self.counted_until.insert(peer, now + HEARD_RETENTION);
    }

    pub fn on_leaving(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        self.counted_until.insert(peer, now + LEAVING_RETENTION);
    }

    /// Updates the count; `known` holds the other hosts that are in the host table.
    pub fn update<'a>(
        &mut self,
        known: impl Iterator<Item = &'a SocketAddr>,
        now: Instant,
    ) {
        self.counted_until.retain(|_, until| now < *until);
        let known = known.copied().chain(self.expected.iter().copied());
        let unheard: BTreeSet<SocketAddr> = known
            .filter(|peer| !self.counted_until.contains_key(peer))
            .collect();
        self.host_count = 1 + self.counted_until.len() + unheard.len();
    }

    /// Returns the number of hosts at the last count, including this one.
    pub fn host_count(&self) -> usize {
        self.host_count
    }
}

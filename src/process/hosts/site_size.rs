use {
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// A host that was not heard for so long is no longer counted. Regions lose each other for an hour; a host
/// beyond such a cut still repeats requests, by its share of an allowance that is divided among all.
const KNOWN_TIME: Duration = Duration::from_secs(2 * 3600);

/// The same for a host that has told that it leaves: its process ends within some seconds, and what it spent
/// counts for a window after that.
const LEFT_TIME: Duration = Duration::from_secs(60);

/// How many hosts a site has, counted over a long time by one host.
#[derive(Debug, Default)]
pub struct SiteSize {
    /// Other hosts that were heard, and until when they are counted.
    heard: BTreeMap<SocketAddr, Instant>,
    /// Hosts that are counted from the start.
    expected: BTreeSet<SocketAddr>,
    counted: usize,
}

impl SiteSize {
    pub fn expect(
        &mut self,
        peers: impl Iterator<Item = SocketAddr>,
    ) {
        self.expected.extend(peers);
        self.counted = 1 + self.expected.len();
    }

    pub fn on_heard(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        self.heard.insert(peer, now + KNOWN_TIME);
    }

    pub fn on_leaving(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        self.heard.insert(peer, now + LEFT_TIME);
    }

    /// Counts anew; `known` are the other hosts that are believed to be there or were so lately.
    pub fn count<'a>(
        &mut self,
        known: impl Iterator<Item = &'a SocketAddr>,
        now: Instant,
    ) {
        self.heard.retain(|_, until| now < *until);
        let known = known.copied().chain(self.expected.iter().copied());
        let unheard: BTreeSet<SocketAddr> = known
            .filter(|peer| !self.heard.contains_key(peer))
            .collect();
        self.counted = 1 + self.heard.len() + unheard.len();
    }

    /// Hosts at the last count, this one included.
    pub fn counted(&self) -> usize {
        self.counted
    }
}

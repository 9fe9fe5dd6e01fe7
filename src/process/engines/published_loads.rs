use {
    crate::{clock::Instant, connection::datagram::EngineLoad},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Interval at which unchanged loads are sent again, as messages may be lost.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// Load of one engine as last sent to a host.
#[derive(Debug, Clone, PartialEq)]
struct PublishedLoad {
    load: EngineLoad,
    at: Instant,
}

/// Tracks the engine loads sent to other hosts, so that only changes are sent.
#[derive(Debug, Default)]
pub struct PublishedLoads {
    by_host: HashMap<(SocketAddr, String), PublishedLoad>,
}

impl PublishedLoads {
    /// Returns true if the load must be sent to the host, and records it as sent.
    pub fn is_news(
        &mut self,
        host: SocketAddr,
        load: &EngineLoad,
        now: Instant,
    ) -> bool {
        let key = (host, load.target.clone());
        let is_old = |told: &PublishedLoad| now.saturating_duration_since(told.at) >= TELL_AGAIN;
        let told = self.by_host.get(&key);
        if told.is_some_and(|told| told.load == *load && !is_old(told)) {
            return false;
        }
        let load = load.clone();
        self.by_host.insert(key, PublishedLoad { load, at: now });
        true
    }

    /// Evicts entries of engines that are no longer held and of lost hosts.
    pub fn forget_old(
        &mut self,
        now: Instant,
    ) {
        let keeps = |told: &PublishedLoad| now.saturating_duration_since(told.at) <= TELL_AGAIN * 2;
        self.by_host.retain(|_, told| keeps(told));
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.by_host.clear();
    }
}

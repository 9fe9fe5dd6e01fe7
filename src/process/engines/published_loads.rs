use {
    crate::{clock::Instant, connection::datagram::EngineLoad},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Interval at which unchanged loads are sent again, as messages may be lost.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Load of one engine as last sent to a host.
#[derive(Debug, Clone, PartialEq)]
struct PublishedLoad {
    load: EngineLoad,
    sent_at: Instant,
}

/// Tracks the engine loads sent to other hosts, so that only changes are sent.
#[derive(Debug, Default)]
pub struct PublishedLoads {
    by_host: HashMap<(SocketAddr, String), PublishedLoad>,
}

impl PublishedLoads {
    /// Returns true if the load must be sent to the host, and records it as sent.
    pub fn should_publish(
        &mut self,
        host: SocketAddr,
        load: &EngineLoad,
        now: Instant,
    ) -> bool {
        let key = (host, load.target.clone());
        let is_due = |published: &PublishedLoad| {
            now.saturating_duration_since(published.sent_at) >= REPUBLISH_INTERVAL
        };
        let published = self.by_host.get(&key);
        if published.is_some_and(|published| published.load == *load && !is_due(published)) {
            return false;
        }
        let load = load.clone();
        self.by_host
            .insert(key, PublishedLoad { load, sent_at: now });
        true
    }

    /// Evicts entries of engines that are no longer held and of lost hosts.
    pub fn evict_expired(
        &mut self,
        now: Instant,
    ) {
        let is_recent = |published: &PublishedLoad| {
            now.saturating_duration_since(published.sent_at) <= REPUBLISH_INTERVAL * 2
        };
        self.by_host.retain(|_, published| is_recent(published));
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.by_host.clear();
    }
}

use {
    crate::{clock::Instant, connection::datagram::EngineLoad},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// A load that has not changed is told again after this time, since reports may be lost.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// What one host was last told of one engine.
#[derive(Debug, Clone, PartialEq)]
struct ToldLoad {
    load: EngineLoad,
    at: Instant,
}

/// The loads of this host's engines, as the others were last told: only news are told.
#[derive(Debug, Default)]
pub struct ToldLoads {
    by_host: HashMap<(SocketAddr, String), ToldLoad>,
}

impl ToldLoads {
    /// True if the host is to be told of this load; it counts as told then.
    pub fn is_news(
        &mut self,
        host: SocketAddr,
        load: &EngineLoad,
        now: Instant,
    ) -> bool {
        let key = (host, load.target.clone());
        let is_old = |told: &ToldLoad| now.saturating_duration_since(told.at) >= TELL_AGAIN;
        let told = self.by_host.get(&key);
        if told.is_some_and(|told| told.load == *load && !is_old(told)) {
            return false;
        }
        let load = load.clone();
        self.by_host.insert(key, ToldLoad { load, at: now });
        true
    }

    /// Drops what was told of engines that are no longer held here, or to hosts that are gone.
    pub fn forget_old(
        &mut self,
        now: Instant,
    ) {
        let keeps = |told: &ToldLoad| now.saturating_duration_since(told.at) <= TELL_AGAIN * 2;
        self.by_host.retain(|_, told| keeps(told));
    }

    /// A larger site's hosts ask instead.
    pub fn clear(&mut self) {
        self.by_host.clear();
    }
}

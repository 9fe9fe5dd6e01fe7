//! Requests that no engine can take: how many there are, and when there may be room for them.

use {
    super::{MAX_BROADCAST_HOSTS, TargetTable, UnplacedRequests},
    crate::{clock::Instant, request::direct::DEFAULT_LOAD_TIME},
    std::time::Duration,
};

/// Longest estimate of the time between two requests of this host that engines find room for.
const MAX_ROOM_INTERVAL: Duration = Duration::from_millis(300);

impl TargetTable {
    /// Returns true if waits are bounded by the expected availability of engines. On small sites they are not: there,
    /// all loads are announced to hosts at once.
    ///
    /// Unreachable hosts are included, so that a host keeps its rules while it is cut off from most others.
    pub fn bounds_waits(&self) -> bool {
        let hosts = self.view.hosts.max(self.view.known_hosts);
        self.settings.policy.bounds_waits && hosts > MAX_BROADCAST_HOSTS
    }

    /// Returns the counts of a service's unplaced requests.
    pub fn unplaced(
        &mut self,
        service: &str,
    ) -> &mut UnplacedRequests {
        if !self.unplaced.contains_key(service) {
            self.unplaced
                .insert(service.to_string(), UnplacedRequests::default());
        }
        self.unplaced.get_mut(service).expect("inserted above")
    }

    /// Returns for how long no holder of any engine of the service has been known, or `None` if one is.
    pub fn holders_unknown_for(
        &mut self,
        service: &str,
        now: Instant,
    ) -> Option<Duration> {
        let mut targets = self.targets_of(service).iter();
        let are_known = targets.any(|target| self.links[&target.id].view.holder.is_some());
        self.unplaced(service).on_holders(are_known, now)
    }

    /// Returns the mean time between two requests of this host for which engines of the service can load an adapter,
    /// if all hosts have as many.
    pub fn room_interval(
        &self,
        service: &str,
    ) -> Duration {
        let engines = self.targets_of(service).len().max(1);
        let share = self.view.hosts as f64 / engines as f64;
        DEFAULT_LOAD_TIME.mul_f64(share).min(MAX_ROOM_INTERVAL)
    }
}

use {
    crate::process::{hosts::HostTable, ownership::rank},
    std::{cmp::Reverse, net::SocketAddr, sync::Arc},
};

/// Minimum number of hosts that take over engines.
const MIN_TAKERS: usize = 8;

/// Number of engines per host that takes over engines, on a large site.
const ENGINES_PER_TAKER: usize = 7;

/// Rendezvous-hash key that selects the hosts that take over engines.
const SELECTION_KEY: &str = "takers";

/// Cache of the hosts that take over engines: all of a small site, a subset of a large one.
///
/// Rebuilt when hosts or the number of engines change.
#[derive(Debug, Default)]
pub struct TakerSelection {
    cached_for: Option<CacheKey>,
    takers: Arc<[SocketAddr]>,
}

/// Cache key: the inputs of the last selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CacheKey {
    epoch: u64,
    is_leaving: bool,
    engines: usize,
}

impl TakerSelection {
    /// Returns the selected hosts for a number of engines.
    pub fn for_engines(
        &mut self,
        engines: usize,
        hosts: &HostTable,
    ) -> Arc<[SocketAddr]> {
        let cached_for = CacheKey {
            epoch: hosts.holders_epoch(),
            is_leaving: hosts.is_leaving(),
            engines,
        };
        if self.cached_for != Some(cached_for) {
            self.takers = select_takers(engines, hosts).into();
            self.cached_for = Some(cached_for);
        }
        self.takers.clone()
    }
}

fn select_takers(
    engines: usize,
    hosts: &HostTable,
) -> Vec<SocketAddr> {
    let mut takers = hosts.eligible();
    let count = MIN_TAKERS.max(engines.div_ceil(ENGINES_PER_TAKER));
    takers.sort_by_cached_key(|host| Reverse(rank(SELECTION_KEY, &host.to_string())));
    takers.truncate(count);
    takers
}

use {
    crate::process::{hosts::HostTable, ownership::rank},
    std::{cmp::Reverse, net::SocketAddr, sync::Arc},
};

/// Minimum number of hosts that take over engines.
const LEAST_TAKERS: usize = 8;

/// Number of engines per host that takes over engines, on a large site.
const ENGINES_PER_TAKER: usize = 7;

/// Rendezvous-hash key that selects the hosts that take over engines.
const TAKERS: &str = "takers";

/// Cache of the hosts that take over engines: all of a small site, a subset of a large one.
///
/// Rebuilt when hosts or the number of engines change.
#[derive(Debug, Default)]
pub struct TakerSelection {
    from: Option<DrawnFrom>,
    drawn: Arc<[SocketAddr]>,
}

/// Cache key: the inputs of the last selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DrawnFrom {
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
        let from = DrawnFrom {
            epoch: hosts.holds_epoch(),
            is_leaving: hosts.is_leaving(),
            engines,
        };
        if self.from != Some(from) {
            self.drawn = draw(engines, hosts).into();
            self.from = Some(from);
        }
        self.drawn.clone()
    }
}

fn draw(
    engines: usize,
    hosts: &HostTable,
) -> Vec<SocketAddr> {
    let mut takers = hosts.eligible();
    let count = LEAST_TAKERS.max(engines.div_ceil(ENGINES_PER_TAKER));
    takers.sort_by_cached_key(|host| Reverse(rank(TAKERS, &host.to_string())));
    takers.truncate(count);
    takers
}

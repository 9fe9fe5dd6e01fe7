use {
    crate::process::{hosts::HostTable, ownership::rank},
    std::{cmp::Reverse, net::SocketAddr, sync::Arc},
};

/// Hosts that take engines, at the least.
const LEAST_TAKERS: usize = 8;

/// Engines for each host that takes some, on a large site.
const ENGINES_PER_TAKER: usize = 7;

/// By this word hosts are drawn that take engines.
const TAKERS: &str = "takers";

/// The hosts that take engines: all of a small site, and enough of a large one.
///
/// They are kept until hosts or the number of engines change: drawn from 300 hosts twenty times a second,
/// their ranks alone took 3% of what hosts used (profile of 80 hosts).
#[derive(Debug, Default)]
pub struct DrawnTakers {
    from: Option<DrawnFrom>,
    drawn: Arc<[SocketAddr]>,
}

/// What they were drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DrawnFrom {
    epoch: u64,
    is_leaving: bool,
    engines: usize,
}

impl DrawnTakers {
    /// Those for so many engines.
    pub fn for_engines(
        &mut self,
        engines: usize,
        hosts: &HostTable,
    ) -> Arc<[SocketAddr]> {
        let from = DrawnFrom {
            epoch: hosts.holders_epoch(),
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

use {
    super::StreamKey,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// A host that may keep records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginHost<'a> {
    pub peer: SocketAddr,
    pub hall: &'a str,
}

/// Returns the hosts that keep the origin of a stream, the first ones before all others.
///
/// The order is by rendezvous hash, the same on every host. The best host of each hall comes before the second best of any, as
/// the hosts of a hall may be lost together.
pub fn origin_hosts<'a>(
    key: StreamKey,
    hosts: impl Iterator<Item = OriginHost<'a>>,
) -> Vec<SocketAddr> {
    let rank = |host: &OriginHost| {
        let name = host.peer.to_string();
        xxh3_64_with_seed(name.as_bytes(), key.to_bits())
    };
    let by_rank: BTreeMap<_, _> = hosts
        .map(|host| (Reverse((rank(&host), host.peer)), host))
        .collect();
    let mut seen_in_hall: HashMap<&str, usize> = HashMap::new();
    let mut order: Vec<(usize, SocketAddr)> = Vec::with_capacity(by_rank.len());
    for host in by_rank.values() {
        let seen = seen_in_hall.entry(host.hall).or_default();
        order.push((*seen, host.peer));
        *seen += 1;
    }
    order.sort_by_key(|(place_in_hall, _)| *place_in_hall);
    order.into_iter().map(|(_, peer)| peer).collect()
}

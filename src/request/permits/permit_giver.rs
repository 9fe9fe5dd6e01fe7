use {
    std::net::SocketAddr,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The host that counts what a target gets: all hosts that know the same hosts name the same one, and few targets change it
/// when a host comes or goes. It rests on nothing in the store, which may be out while targets are in need.
pub fn permit_giver(
    target: &str,
    hosts: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let seed = xxh3_64(target.as_bytes());
    hosts.max_by_key(|host| {
        let name = host.to_string();
        (xxh3_64_with_seed(name.as_bytes(), seed), *host)
    })
}

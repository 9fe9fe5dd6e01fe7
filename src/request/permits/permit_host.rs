use {
    std::net::SocketAddr,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Returns the host that counts the requests to a target. Uses rendezvous hashing: hosts with the same host list agree,
/// and few targets move when a host joins or leaves. Does not depend on the store, which may be down.
pub fn permit_host(
    target: &str,
    hosts: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let seed = xxh3_64(target.as_bytes());
    hosts.max_by_key(|host| {
        let name = host.to_string();
        (xxh3_64_with_seed(name.as_bytes(), seed), *host)
    })
}

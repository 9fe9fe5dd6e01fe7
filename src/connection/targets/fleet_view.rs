use {
    super::{ReplicaFreshness, VersionHistory},
    crate::{
        clock::Instant,
        formats::{SoftwareId, TargetRecord},
        version::routing::RoutingTable,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// A target that may get requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    pub record: Arc<TargetRecord>,
    /// The host that controls it, if one does and is reachable.
    pub holder: Option<SocketAddr>,
    /// Set when its entry has vanished: it gets requests until then.
    pub usable_until: Option<Instant>,
}

/// The control thread's snapshot of the fleet that requests depend on; always replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Version 0 means that no configuration is known yet.
    pub routing: Arc<RoutingTable>,
    /// By id, without targets that are leaving or gone.
    pub targets: HashMap<String, Arc<TargetView>>,
    /// By `MODEL/ADAPTER`, of adapters with more than one version.
    pub versions: Arc<HashMap<String, VersionHistory>>,
    /// By service, the versions of targets' software at which no stream may begin yet.
    pub withheld_software: Arc<HashMap<String, Vec<SoftwareId>>>,
    /// By hash slot, the hosts that count customers' usage and allocate concurrency slots of plain targets; empty if
    /// no customer has a limit.
    pub hash_slot_holders: Vec<Option<SocketAddr>>,
    /// Where other hosts take forwarded requests.
    pub other_hosts: Vec<SocketAddr>,
    /// Reachable hosts, including this one.
    pub hosts: usize,
    /// Recently known hosts, including unreachable ones.
    pub known_hosts: usize,
    /// Freshness of the table replicas behind this snapshot.
    pub freshness: ReplicaFreshness,
}

use {
    super::{Confirmation, VersionHistory},
    crate::{clock::Instant, formats::TargetRecord, version::routing::RoutingTable},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// A target that may get requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    pub record: Arc<TargetRecord>,
    /// The host that gives orders to it, if one does that answers.
    pub holder: Option<SocketAddr>,
    /// Its entry has vanished: it gets requests until then.
    pub usable_until: Option<Instant>,
}

/// What the control thread knows and requests rest on; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Version 0 means that no configuration is known yet.
    pub routing: Arc<RoutingTable>,
    /// By id; those that leave or are gone are not among them.
    pub targets: HashMap<String, Arc<TargetView>>,
    /// Of adapters that have more than one version, by `MODEL/ADAPTER`.
    pub versions: Arc<HashMap<String, VersionHistory>>,
    /// The hosts that count customers' use and give out places at plain targets, by slot; empty where no customer has a
    /// limit.
    pub slot_holders: Vec<Option<SocketAddr>>,
    /// Hosts that answer, this one included.
    pub hosts: usize,
    /// Hosts that were known within a long time, those that don't answer included.
    pub known_hosts: usize,
    /// How well the tables behind this are known to be right.
    pub confirmation: Confirmation,
}

use {
    crate::{
        process::{membership::Liveness, ownership::rank},
        version::SiteConfig,
    },
    arc_swap::ArcSwap,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// What traffic threads see of the control state; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub me: String,
    pub config: Arc<SiteConfig>,
    /// Owner of each target, as the table last said.
    pub owners: BTreeMap<String, OwnerView>,
    pub hosts: BTreeMap<String, HostView>,
    /// Hosts that may hold a role, this one included.
    pub eligible: Vec<String>,
    pub leaving: bool,
    /// True while new callers may be sent to this host.
    pub takes_callers: bool,
    pub table_reachable: bool,
    /// True while no host that answers can reach the table, so that no lease can change hands.
    pub table_out_for_all: bool,
    /// True once the configuration, the host list and the table have been read.
    pub ready: bool,
}

/// The owner of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    pub host: String,
    pub fence: u64,
}

/// One host of the site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    pub hall: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub liveness: Liveness,
    /// True for a host that new callers should be sent to.
    pub takes_callers: bool,
    pub config_revision: u64,
}

/// The current view, shared by all threads.
pub type SharedView = Arc<ArcSwap<View>>;

/// The role of load scheduler is placed by this name.
const SCHEDULER_ROLE: &str = "load-scheduler";

impl View {
    /// The host that schedules loads; computed alike by all hosts with the same view.
    pub fn scheduler(&self) -> Option<&str> {
        self.eligible
            .iter()
            .max_by_key(|host| rank(SCHEDULER_ROLE, host))
            .map(String::as_str)
    }

    /// Where another host's peers connect.
    pub fn peer_address(
        &self,
        host: &str,
    ) -> Option<SocketAddr> {
        self.hosts.get(host).map(|host| host.peer_address)
    }

    /// What this host believes of a host, for logs.
    pub fn host_state(
        &self,
        host: &str,
    ) -> &'static str {
        match self.hosts.get(host) {
            _ if host == self.me => "self",
            Some(host) => host.liveness.word(),
            None => "unknown",
        }
    }

    /// True for a host believed dead or unknown; never for this one.
    pub fn is_gone(
        &self,
        host: &str,
    ) -> bool {
        host != self.me
            && self
                .hosts
                .get(host)
                .is_none_or(|host| !host.liveness.can_receive_requests())
    }
}

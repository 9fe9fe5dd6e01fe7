use {
    crate::errors::PlatformError,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether the platform keeps a host or takes it away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    Live,
    Leaving,
}

impl HostState {
    /// Returns the name used in logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        }
    }
}

/// A host as the platform lists it, some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    pub name: String,
    pub hall: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the other hosts connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    pub state: HostState,
}

/// The platform's lagging list of hosts.
pub trait HostList: Send + Sync {
    fn read(&self) -> Result<Vec<ListedHost>, PlatformError>;
}

use {crate::clock::Instant, crate::connection::platform::ListedHost};

/// What is believed of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    Alive,
    /// Alive, but asked to take no new work.
    Leaving,
    /// Did not answer; it may still refute.
    Suspect,
    Dead,
}

impl Liveness {
    /// True for a host that requests may be forwarded to.
    pub fn answers(self) -> bool {
        self != Self::Dead
    }
}

/// Another host, as this one sees it.
#[derive(Debug, Clone)]
pub struct Member {
    pub listed: ListedHost,
    pub liveness: Liveness,
    pub incarnation: u64,
    /// The process that runs there; 0 when never heard of.
    pub session: u64,
    /// When `liveness` last changed.
    pub since: Instant,
    /// What it last said of itself.
    pub table_reachable: bool,
    pub config_revision: u64,
}

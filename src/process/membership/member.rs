use crate::{
    clock::Instant,
    connection::platform::{HostState, ListedHost},
};

/// State of a host in this host's view; within one incarnation, a greater state overrides a lesser one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    Alive,
    /// Alive, but accepts no new work.
    Leaving,
    /// Missed its probes, and may still refute the suspicion.
    Suspect,
    Dead,
}

impl Liveness {
    /// Returns true if requests may be forwarded to the host.
    pub fn can_receive_requests(self) -> bool {
        self != Self::Dead
    }

    /// Returns the name used in logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// Latest known state of another host.
#[derive(Debug, Clone)]
pub struct Member {
    /// Latest entry of the host in the platform's list.
    pub listed: ListedHost,
    /// False while the platform's list leaves the host out.
    pub is_listed: bool,
    pub liveness: Liveness,
    pub incarnation: u64,
    /// Id of the process that runs on the host; 0 if the host was never heard.
    pub session: u64,
    /// Time of the last change of `liveness`.
    pub since: Instant,
    /// Whether the host could reach the shared table, as of its last heartbeat.
    pub table_reachable: bool,
    /// Configuration revision of the host, as of its last heartbeat.
    pub config_revision: u64,
}

impl Member {
    /// Returns true if the host was heard, runs and has not begun a planned stop; a suspect counts.
    pub fn is_active(&self) -> bool {
        let runs = matches!(self.liveness, Liveness::Alive | Liveness::Suspect);
        // A host that was never heard gets no role, whatever the list says.
        let was_heard = self.incarnation > 0;
        runs && was_heard
    }

    /// Returns true if the platform lists the host to stay.
    pub fn accepts_roles(&self) -> bool {
        self.is_listed && self.listed.state == HostState::Live
    }
}

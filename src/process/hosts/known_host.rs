use {
    crate::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
        formats::StoreVersion,
    },
    std::net::SocketAddr,
};

/// Properties of a host that are fixed while its process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Address for datagrams between hosts; identifies the host.
    pub peer: SocketAddr,
    pub name: String,
    pub hall: String,
    /// Address that serves callers.
    pub front: SocketAddr,
    /// Random id, drawn at each process start.
    pub process: u64,
    /// Link bandwidth in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// State of a host in this host's view; within one incarnation, a greater state overrides a lesser one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    Alive,
    /// Finishes its current work and accepts no new roles.
    Leaving,
    /// Missed a ping, and may still refute the suspicion.
    Suspect,
    Dead,
}

impl HostState {
    /// Returns true if the host is considered reachable.
    pub fn is_up(self) -> bool {
        self < Self::Suspect
    }

    /// Returns the name used in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }

    pub fn to_wire(self) -> RumorState {
        match self {
            Self::Alive => RumorState::Alive,
            Self::Leaving => RumorState::Leaving,
            Self::Suspect => RumorState::Suspect,
            Self::Dead => RumorState::Dead,
        }
    }

    pub fn from_wire(state: RumorState) -> Self {
        match state {
            RumorState::Alive => Self::Alive,
            RumorState::Leaving => Self::Leaving,
            RumorState::Suspect => Self::Suspect,
            RumorState::Dead => Self::Dead,
        }
    }
}

/// Latest known state of another host.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    pub identity: HostIdentity,
    pub incarnation: u32,
    pub state: HostState,
    /// Time of the last change of `state`.
    pub since: Instant,
    /// Arrival of the last message from the host itself; `None` if it is known from others only.
    pub heard: Option<Instant>,
    /// Names of the engines that the host controls.
    pub holds: Vec<String>,
    /// Version of `holds` in the host's process; 0 if the host sends its list without a version, or no list is known.
    pub holds_version: u32,
    /// Version of the host's lease row.
    pub lease_version: StoreVersion,
    /// When this host first learned of `lease_version`.
    pub lease_known_since: Instant,
    /// The host accepts requests.
    pub ready: bool,
    /// Long-term host count of that host; 0 unless received from the host itself.
    pub counted: u32,
}

impl KnownHost {
    /// Returns the rumor to gossip about the host.
    ///
    /// A host that was never heard directly is gossiped as alive: it may still be starting, and hosts that
    /// have heard it know its state better.
    pub fn to_rumor(&self) -> HostRumor {
        let state = match self.heard {
            Some(_) => self.state,
            None => HostState::Alive,
        };
        HostRumor {
            peer: self.identity.peer.into(),
            name: self.identity.name.clone(),
            hall: self.identity.hall.clone(),
            front: self.identity.front.into(),
            process: self.identity.process,
            incarnation: self.incarnation,
            state: state.to_wire() as i32,
            holds: self.holds.clone(),
            lease_version: self.lease_version.to_bits(),
            ready: self.ready,
            link_mbps: self.identity.link_mbps,
            // Sent only by the host itself: a count relayed by others would never expire.
            counted: 0,
            holds_version: 0,
        }
    }

    /// Creates the entry of a host that was first learned of from a rumor.
    pub fn from_rumor(
        rumor: &HostRumor,
        now: Instant,
    ) -> Self {
        Self {
            identity: HostIdentity {
                peer: rumor.peer.into(),
                name: rumor.name.clone(),
                hall: rumor.hall.clone(),
                front: rumor.front.into(),
                process: rumor.process,
                link_mbps: rumor.link_mbps,
            },
            incarnation: rumor.incarnation,
            // Not considered reachable until it is heard directly.
            state: HostState::Suspect,
            since: now,
            heard: None,
            holds: rumor.holds.clone(),
            holds_version: 0,
            lease_version: StoreVersion::from_bits(rumor.lease_version),
            lease_known_since: now,
            ready: rumor.ready,
            counted: 0,
        }
    }
}

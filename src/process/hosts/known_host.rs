use {
    crate::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
    },
    std::net::SocketAddr,
};

/// What does not change while a host's process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Where its datagrams go; names the host.
    pub peer: SocketAddr,
    pub name: String,
    pub hall: String,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Drawn by chance at each start.
    pub process: u64,
    /// What its link carries, in Mbit/s; 0 if that is not known.
    pub link_mbps: u32,
}

/// What is believed of a host; later ones outweigh earlier ones of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    Alive,
    /// It serves on, and takes nothing new.
    Leaving,
    /// It did not answer, and may still refute.
    Suspect,
    Dead,
}

impl HostState {
    /// True for a host that answers.
    pub fn is_up(self) -> bool {
        self < Self::Suspect
    }

    /// The state in logs and figures.
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

/// Another host, as this one sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    pub identity: HostIdentity,
    pub incarnation: u32,
    pub state: HostState,
    /// When `state` last changed.
    pub since: Instant,
    /// When a message of its own last arrived.
    pub heard: Option<Instant>,
    /// Engines that it gives orders to.
    pub holds: Vec<String>,
    /// Version of its lease's row, and when this host first knew of that version.
    pub lease_version: u64,
    pub lease_known_since: Instant,
    /// It takes requests.
    pub ready: bool,
    /// Hosts that it has itself counted over a long time.
    pub counted: u32,
}

impl KnownHost {
    /// The host as it is told of to others.
    ///
    /// Nothing bad is told of a host that this one has only heard others name: it may have started
    /// a moment later, and whoever has heard it knows better.
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
            lease_version: self.lease_version,
            ready: self.ready,
            link_mbps: self.identity.link_mbps,
            // Told of itself only: a count that others passed on would never end.
            counted: 0,
        }
    }

    /// A host that was told of for the first time.
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
            // Not believed before it was heard of itself.
            state: HostState::Suspect,
            since: now,
            heard: None,
            holds: rumor.holds.clone(),
            lease_version: rumor.lease_version,
            lease_known_since: now,
            ready: rumor.ready,
            counted: 0,
        }
    }
}

//! Between wire messages and the types that decisions are made on.

use {
    super::wire,
    crate::process::membership::{Heartbeat, Liveness, Rumor},
};

/// A heartbeat as it is sent.
pub fn heartbeat_to_wire(
    heartbeat: Heartbeat,
    rumors: Vec<Rumor>,
) -> wire::HeartbeatMessage {
    wire::HeartbeatMessage {
        host: heartbeat.host,
        incarnation: heartbeat.incarnation,
        session: heartbeat.session,
        leaving: heartbeat.leaving,
        table_reachable: heartbeat.table_reachable,
        config_revision: heartbeat.config_revision,
        rumors: rumors.into_iter().map(rumor_to_wire).collect(),
        probe: String::new(),
        probe_answered: false,
    }
}

/// A heartbeat as it was received.
pub fn heartbeat_from_wire(message: wire::HeartbeatMessage) -> (Heartbeat, Vec<Rumor>) {
    let rumors = message.rumors.into_iter().map(rumor_from_wire).collect();
    let heartbeat = Heartbeat {
        host: message.host,
        incarnation: message.incarnation,
        session: message.session,
        leaving: message.leaving,
        table_reachable: message.table_reachable,
        config_revision: message.config_revision,
    };
    (heartbeat, rumors)
}

fn rumor_to_wire(rumor: Rumor) -> wire::Rumor {
    let liveness = match rumor.liveness {
        Liveness::Alive => wire::Liveness::Alive,
        Liveness::Leaving => wire::Liveness::Leaving,
        Liveness::Suspect => wire::Liveness::Suspect,
        Liveness::Dead => wire::Liveness::Dead,
    };
    wire::Rumor {
        host: rumor.host,
        incarnation: rumor.incarnation,
        liveness: liveness.into(),
    }
}

fn rumor_from_wire(rumor: wire::Rumor) -> Rumor {
    let liveness = match rumor.liveness() {
        wire::Liveness::Alive => Liveness::Alive,
        wire::Liveness::Leaving => Liveness::Leaving,
        wire::Liveness::Suspect => Liveness::Suspect,
        wire::Liveness::Dead => Liveness::Dead,
    };
    Rumor {
        host: rumor.host,
        incarnation: rumor.incarnation,
        liveness,
    }
}

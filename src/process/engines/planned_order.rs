use {
    super::LoadRejection,
    crate::{connection::datagram::Placement, formats::OrderKind},
    std::{net::SocketAddr, time::Duration},
};

/// Purpose of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderPurpose {
    /// Changes what the engine holds.
    Change,
    /// Repeats a load only to learn whether it has completed; engines do not count it as a new order.
    Probe,
}

/// An order to an engine, without the holder and the fence, which the sender adds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    pub purpose: OrderPurpose,
    pub kind: OrderKind,
    pub model: String,
    pub adapter: Option<String>,
    pub version: Option<u64>,
    pub expected_sequence: u64,
    /// Reason that is logged.
    pub reason: &'static str,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// An action that an engine allocator requests.
#[derive(Debug, Clone, PartialEq)]
pub enum AllocatorAction {
    Order(PlannedOrder),
    RequestReport,
    /// Sends a placement to the host that requested it.
    Reply {
        host: SocketAddr,
        placement: Placement,
    },
    /// Sends a placement to all hosts, or on a large site to the interested ones.
    Announce {
        interested_hosts: Vec<SocketAddr>,
        placement: Placement,
    },
    /// Logs and counts a load request that was rejected.
    LoadRejected {
        adapter: String,
        reason: LoadRejection,
    },
    /// Logs a completed load and its duration.
    LoadCompleted {
        adapter: String,
        time: Duration,
    },
}

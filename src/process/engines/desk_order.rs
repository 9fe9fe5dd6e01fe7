use {
    super::NoProspect,
    crate::{connection::datagram::Placement, formats::OrderKind},
    std::{net::SocketAddr, time::Duration},
};

/// Why an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderPurpose {
    /// Something is to change at the engine.
    Change,
    /// A load is ordered again only to learn whether it is over; engines take that for no new order.
    Look,
}

/// An order as the desk wants it; whoever sends it adds the holder and the fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeskOrder {
    pub purpose: OrderPurpose,
    pub kind: OrderKind,
    pub model: String,
    pub adapter: Option<String>,
    pub version: Option<u64>,
    pub expected_sequence: u64,
    /// Why, for logs.
    pub reason: &'static str,
    /// How often it was sent, this time included.
    pub tries: u32,
}

/// What the desk wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskAction {
    Order(DeskOrder),
    AskReport,
    /// Tell one host, which asked.
    Tell {
        host: SocketAddr,
        placement: Placement,
    },
    /// Tell every host, or at least those that may send requests for the adapter.
    Announce {
        interested: Vec<SocketAddr>,
        placement: Placement,
    },
    /// A host was told that the engine can't take an adapter; for logs and figures.
    TurnedAway {
        adapter: String,
        reason: NoProspect,
    },
    /// A load that was ordered is over, after this time; for logs.
    LoadOver {
        adapter: String,
        time: Duration,
    },
}

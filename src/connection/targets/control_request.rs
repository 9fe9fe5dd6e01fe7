use {
    crate::{
        connection::datagram::{
            ChargeAsk, ChargeRefund, EngineQuery, Loan, LoanAsk, OriginAsk, PermitAsk,
            PermitReport, PlaceEnded, PlaceWanted, Usage, Want,
        },
        request::{notices::TargetNotices, origins::StreamOrigin, poison::PoisonReport},
    },
    std::{net::SocketAddr, time::Duration},
};

/// A message from the traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Request an adapter from the holder of an engine.
    RequestAdapter { holder: SocketAddr, request: Want },
    /// Report this host's usage of an engine to the engine's holder.
    ReportUsage { holder: SocketAddr, usage: Usage },
    /// Query the status of an engine from its holder.
    QueryEngine {
        holder: SocketAddr,
        query: EngineQuery,
    },
    /// Report that an engine does not hold an adapter that its holder lists as loaded.
    ReportMissing { target: String, adapter: String },
    /// Request a loan of repeat budget from the next host in turn.
    RequestLoan(LoanAsk),
    /// Report that a request crashed targets, or got a complete answer.
    ReportPoison(PoisonReport),
    /// Request a charge from the host that counts a customer's usage.
    RequestCharge { to: SocketAddr, request: ChargeAsk },
    /// Request a concurrency slot of a plain service from the host that allocates them.
    RequestSlot {
        to: SocketAddr,
        request: PlaceWanted,
    },
    /// Publish the changed notices of a target.
    PublishNotices {
        target: String,
        notices: TargetNotices,
    },
    /// Request a permit to send one request to a target.
    RequestPermit(PermitAsk),
    /// Tell the host that has granted a permit for a brittle target how far its request has got.
    ReportPermit(PermitReport),
    /// Record where a stream of this host began.
    RecordOrigin(StreamOrigin),
    /// Search for the origin of a stream that is taken up here.
    SearchOrigin(OriginAsk),
    /// Release a concurrency slot at the host that allocated it.
    ReleaseSlot { to: SocketAddr, release: PlaceEnded },
    /// Return an unused part of a charge.
    RefundCharge {
        to: SocketAddr,
        refund: ChargeRefund,
    },
    /// Lend a part of this host's repeat budget to another host.
    GrantLoan { to: SocketAddr, loan: Loan },
}

/// A request for an adapter to the holder of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterRequest<'a> {
    /// `MODEL/ADAPTER`.
    pub adapter: &'a str,
    pub target: &'a str,
    /// Minimum version.
    pub version: u64,
    /// The adapter is loaded on another engine, which is busy: the load is optional.
    pub spare: bool,
    /// A load that takes longer is of no use to the request.
    pub max_load_time: Duration,
}

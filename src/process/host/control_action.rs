use {
    super::TableName,
    crate::{
        connection::{
            datagram::{
                ChargeAnswer, EngineLoad, EngineStanding, Loan, LoanAsk, Message, OriginAnswer,
                PermitAnswer, PlaceGiven, Placement,
            },
            targets::{FleetView, ReplicaFreshness},
        },
        formats::{Order, RowWrite, StoreVersion, Transaction},
        process::holding::TakenEngine,
        request::{
            notices::TargetNotices,
            poison::{PoisonKey, PoisonVerdict},
        },
    },
    std::{net::SocketAddr, sync::Arc},
};

/// An action that the control thread requests of its runner.
#[derive(Debug, Clone)]
pub enum ControlAction {
    Send {
        to: SocketAddr,
        message: Message,
    },
    ReadChanges {
        table: TableName,
        since: StoreVersion,
    },
    ReadTable {
        table: TableName,
    },
    /// Pulls the changes since a version from another host's replica.
    PullChanges {
        table: TableName,
        from: SocketAddr,
        since: StoreVersion,
    },
    /// Pulls the hosts that another host knows.
    PullHosts {
        from: SocketAddr,
    },
    /// Renews this host's lease.
    Renew {
        transaction: Transaction,
    },
    /// Reads the table of engine holders in this lease term.
    ReadHolders {
        term: u64,
    },
    /// Reads the leases of lost hosts, by a transaction that changes nothing.
    CheckLeases {
        transaction: Transaction,
    },
    /// Records this host as the holder of engines.
    TakeEngines {
        engines: Vec<TakenEngine>,
        term: u64,
        transaction: Transaction,
    },
    /// Sends an order to an engine if the lease still holds in this term.
    Order {
        target: String,
        address: SocketAddr,
        term: u64,
        order: Order,
    },
    /// Requests a report of its loaded adapters and orders from an engine.
    RequestReport {
        target: String,
        address: SocketAddr,
    },
    /// Publishes a new view to requests.
    PublishView(Arc<FleetView>),
    /// Publishes the freshness of an unchanged view to requests.
    PublishFreshness(ReplicaFreshness),
    /// Delivers where an adapter was placed to this host's own requests.
    DeliverPlacement(Placement),
    /// Delivers the load of an engine to this host's own requests.
    DeliverLoad(EngineLoad),
    /// Delivers the answer to an engine query to this host's own requests.
    DeliverEngineStatus(EngineStanding),
    /// Delivers borrowed repeat budget.
    DeliverLoan(Loan),
    /// Delivers the answer to a charge on a customer's quota.
    DeliverChargeAnswer(ChargeAnswer),
    /// Delivers the answer to a request for a concurrency slot.
    DeliverSlotResponse(PlaceGiven),
    /// Delivers the answer to a request for a permit.
    DeliverPermitAnswer(PermitAnswer),
    /// Delivers this host's own answer in the search for the origin of a stream.
    DeliverOwnOrigin {
        answer: OriginAnswer,
        /// Other hosts that are asked.
        asked: u32,
    },
    /// Delivers the answer of another host or of the store in the search for the origin of a stream.
    DeliverOrigin(OriginAnswer),
    /// Delivers notices of a target that another host received.
    DeliverNotices {
        target: String,
        notices: TargetNotices,
    },
    /// Sets what follows for requests with a key; `None` clears it.
    SetPoisonVerdict {
        key: PoisonKey,
        verdict: Option<PoisonVerdict>,
    },
    /// Reads the stored requests that crash targets.
    ReadPoison,
    /// Writes crash records of requests to the store.
    WritePoison {
        writes: Vec<RowWrite>,
    },
    /// Reads what is stored of streams' origins.
    ReadOrigins,
    /// Writes what is to be stored of streams' origins.
    WriteOrigins {
        writes: Vec<RowWrite>,
    },
    /// Answers another host's request to borrow repeat budget.
    LendQuota {
        to: SocketAddr,
        ask: LoanAsk,
    },
}

use {
    super::TableName,
    crate::{
        connection::{
            datagram::{
                ChargeAnswer, EngineLoad, EngineStanding, Loan, LoanAsk, Message, PermitAnswer,
                PlaceGiven, Placement,
            },
            targets::{FleetView, ReplicaFreshness},
        },
        formats::{Order, RowWrite, Transaction},
        process::holding::TakenEngine,
        request::{
            notices::TargetNotices,
            poison::{Fingerprint, PoisonStatus},
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
        since: u64,
    },
    ReadTable {
        table: TableName,
    },
    /// Pulls the changes since a version from another host's replica.
    PullChanges {
        table: TableName,
        from: SocketAddr,
        since: u64,
    },
    /// Pulls the hosts that another host knows.
    PullHosts {
        from: SocketAddr,
    },
    Renew {
        transaction: Transaction,
    },
    ReadHolders {
        term: u64,
    },
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
    RequestReport {
        target: String,
        address: SocketAddr,
    },
    /// Publishes a new view to requests.
    PublishView(Arc<FleetView>),
    /// Publishes a newer freshness of the current view to requests.
    PublishFreshness(ReplicaFreshness),
    /// Answers a request of this host for an adapter.
    DeliverPlacement(Placement),
    DeliverLoad(EngineLoad),
    DeliverEngineStatus(EngineStanding),
    DeliverLoan(Loan),
    DeliverChargeAnswer(ChargeAnswer),
    DeliverSlotResponse(PlaceGiven),
    DeliverPermitAnswer(PermitAnswer),
    /// Publishes notices of a target, learnt from another host, to requests.
    DeliverNotices {
        target: String,
        notices: TargetNotices,
    },
    /// Publishes the poison status of a request; `None` if it is under no suspicion.
    SetPoisonStatus {
        fingerprint: Fingerprint,
        standing: Option<PoisonStatus>,
    },
    /// Reads the stored requests that crash targets.
    ReadPoison,
    /// Writes what is known of such requests to the store.
    WritePoison {
        writes: Vec<RowWrite>,
    },
    /// Passes on another host's request to borrow retry quota.
    LendQuota {
        to: SocketAddr,
        ask: LoanAsk,
    },
}

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

/// What the control thread wants done.
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
    /// Ask another host for what has changed in its copy since a version.
    PullChanges {
        table: TableName,
        from: SocketAddr,
        since: u64,
    },
    /// Ask another host for the hosts that it knows.
    PullHosts {
        from: SocketAddr,
    },
    Renew {
        transaction: Transaction,
    },
    ReadHolders {
        term: u64,
    },
    Take {
        engines: Vec<TakenEngine>,
        term: u64,
        transaction: Transaction,
    },
    /// Give an order, if the lease still holds in this term.
    Order {
        target: String,
        address: SocketAddr,
        term: u64,
        order: Order,
    },
    AskReport {
        target: String,
        address: SocketAddr,
    },
    /// Requests see this from now on.
    Publish(Arc<FleetView>),
    /// What requests see is known to be right as of other times.
    Confirm(ReplicaFreshness),
    /// For the requests of this host.
    Place(Placement),
    Load(EngineLoad),
    Stand(EngineStanding),
    Borrow(Loan),
    Charged(ChargeAnswer),
    PlaceGiven(PlaceGiven),
    Permit(PermitAnswer),
    /// Another host has heard what a target says of itself.
    TargetNews {
        target: String,
        notices: TargetNotices,
    },
    /// A request stands so from now on; `None` if nothing speaks against it.
    Stands {
        fingerprint: Fingerprint,
        standing: Option<PoisonStatus>,
    },
    /// Read what the store keeps of requests that end targets.
    ReadPoison,
    /// Keep what is known of such requests in the store.
    KeepPoison {
        writes: Vec<RowWrite>,
    },
    /// Another host asks for a part of this one's allowance of repeats.
    Lend {
        to: SocketAddr,
        ask: LoanAsk,
    },
}

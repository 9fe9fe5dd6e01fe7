use {
    crate::{
        connection::datagram::{
            ChargeAsk, ChargeRefund, EngineQuery, Loan, LoanAsk, PermitAsk, PlaceEnded,
            PlaceWanted, Usage, Want,
        },
        request::{notices::TargetNotices, poison::PoisonReport},
    },
    std::{net::SocketAddr, time::Duration},
};

/// What requests ask of the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Ask the holder of an engine for an adapter.
    Want { holder: SocketAddr, want: Want },
    /// Tell the holder of an engine what is sent there.
    Usage { holder: SocketAddr, usage: Usage },
    /// Ask the holder of an engine how it stands.
    Query {
        holder: SocketAddr,
        query: EngineQuery,
    },
    /// An engine does not hold an adapter that its holder said it holds.
    Missing { target: String, adapter: String },
    /// Ask one host, whichever comes next, for a part of its allowance of repeats.
    AskLoan(LoanAsk),
    /// A request ended targets, or got a whole answer after all.
    Poison(PoisonReport),
    /// Ask the host that counts a customer's use.
    Charge { to: SocketAddr, ask: ChargeAsk },
    /// Ask the host that gives out the places of a plain service for one.
    WantPlace { to: SocketAddr, wanted: PlaceWanted },
    /// An answer of a target says something new of it.
    Heard {
        target: String,
        notices: TargetNotices,
    },
    /// Ask the host that counts what a target gets for leave to send one request there.
    WantPermit(PermitAsk),
    /// Tell it that a place is free again.
    EndPlace { to: SocketAddr, ended: PlaceEnded },
    /// Tell it that some of what it granted is not used.
    Refund {
        to: SocketAddr,
        refund: ChargeRefund,
    },
    /// Lend a host a part of this one's allowance.
    GiveLoan { to: SocketAddr, loan: Loan },
}

/// What is asked of the holder of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterAsk<'a> {
    /// `MODEL/ADAPTER`.
    pub adapter: &'a str,
    pub target: &'a str,
    /// Oldest version that serves.
    pub version: u64,
    /// There is a copy elsewhere, which only is busy.
    pub spare: bool,
    /// A load that takes longer is of no use to the request.
    pub patience: Duration,
}

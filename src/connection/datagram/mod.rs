//! Datagrams between hosts: small, repeated until answered, and harmless when they come twice.

mod address;
mod message;
mod socket;
mod target_news;

pub use {
    address::Address,
    message::{
        Ack, AdapterUsage, ChargeAnswer, ChargeAsk, ChargeRefund, CopyState, EngineLoad,
        EngineQuery, EngineStanding, Freshness, HostRumor, Loan, LoanAsk, Message, Ping, PingEcho,
        PingRequest, PlaceEnded, PlaceGiven, PlaceWanted, Placement, PlacementState, PoisonEntry,
        PoisonNews, PoisonStrike, RumorState, Usage, Vouch, Want, decode, encode,
    },
    socket::DatagramSocket,
    target_news::{LimitNews, PermitAnswer, PermitAsk, TargetNews},
};

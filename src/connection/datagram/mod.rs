//! Datagrams between hosts: small, repeated until answered, and harmless when they come twice.

mod address;
mod engine_messages;
mod holdings;
mod message;
mod origin_messages;
mod socket;
mod target_news;

pub use {
    address::Address,
    engine_messages::{
        AdapterUsage, EngineLoad, EngineQuery, PaceReport, PromptSegment, SentPrompt, Usage,
    },
    holdings::{Holdings, HoldingsKnown},
    message::{
        Ack, ChargeAnswer, ChargeAsk, ChargeRefund, CopyState, EngineStanding, Freshness,
        HostRumor, Loan, LoanAsk, Message, Ping, PingEcho, PingRequest, PlaceEnded, PlaceGiven,
        PlaceWanted, Placement, PlacementState, PoisonEntry, PoisonNews, PoisonStrike, RumorState,
        Vouch, Want, decode, encode,
    },
    origin_messages::{OriginAnswer, OriginAsk, OriginRecord, OriginRecords, StoredVersion},
    socket::DatagramSocket,
    target_news::{PermitAnswer, PermitAsk, PermitReport, PermitStage, RateNews, TargetNews},
};

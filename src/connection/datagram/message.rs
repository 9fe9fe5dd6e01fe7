//! The messages. Fields are numbered as in any protobuf schema, and numbers are never used again.

use {
    super::{
        Address, EngineLoad, EngineQuery, Holdings, HoldingsKnown, OriginAnswer, OriginAsk,
        OriginRecords, PermitAnswer, PermitAsk, PermitReport, TargetNews, Usage,
    },
    crate::request::places::SlotOutcome,
    prost::Message as _,
    std::time::Duration,
};

/// How a host is described to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RumorState {
    Alive = 0,
    Leaving = 1,
    Suspect = 2,
    Dead = 3,
}

/// What is told of a host, by itself or by others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostRumor {
    /// Where its datagrams go; names the host.
    #[prost(message, required, tag = "1")]
    pub peer: Address,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(string, tag = "3")]
    pub hall: String,
    /// Where callers reach it.
    #[prost(message, required, tag = "4")]
    pub front: Address,
    /// Drawn by chance at each start of its process.
    #[prost(fixed64, tag = "5")]
    pub process: u64,
    /// Raised by the host itself, to refute what is told of it.
    #[prost(uint32, tag = "6")]
    pub incarnation: u32,
    #[prost(enumeration = "RumorState", tag = "7")]
    pub state: i32,
    /// Engines that it gives orders to, by id.
    #[prost(string, repeated, tag = "8")]
    pub holds: Vec<String>,
    /// Version of its lease's row as the bits of a `StoreVersion`, 0 if it has none.
    #[prost(uint64, tag = "9")]
    pub lease_version: u64,
    /// It takes requests.
    #[prost(bool, tag = "10")]
    pub ready: bool,
    /// What its link carries, in Mbit/s; 0 if that is not known.
    #[prost(uint32, tag = "11")]
    pub link_mbps: u32,
    /// Hosts that it has itself counted over a long time, told only by itself; 0 if that is not known.
    #[prost(uint32, tag = "12")]
    pub counted: u32,
    /// Version of the list `holds`, which is left out then; 0 if `holds` is complete.
    #[prost(uint32, tag = "13")]
    pub holds_version: u32,
}

/// How a host's copy of one table of the store stands.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CopyState {
    /// The bits of a `StoreVersion`.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Equal for copies that mean the same.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Time since it was known to be right; absent for a table that was never read.
    #[prost(uint32, optional, tag = "3")]
    pub age_ms: Option<u32>,
}

/// How new a host's copies of the store's tables are.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Freshness {
    #[prost(message, required, tag = "1")]
    pub declared: CopyState,
    #[prost(message, required, tag = "2")]
    pub targets: CopyState,
    /// When this was told, as time since the start of the sender's process, in microseconds.
    #[prost(uint64, tag = "3")]
    pub told_us: u64,
    /// What the sender knows of requests that end targets, equal for what means the same; absent until it
    /// knows what others or the store know.
    #[prost(fixed64, optional, tag = "4")]
    pub poison: Option<u64>,
}

/// Asks for an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    #[prost(message, required, tag = "1")]
    pub sender: HostRumor,
    #[prost(message, required, tag = "2")]
    pub freshness: Freshness,
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<HostRumor>,
    /// No answer is asked for: the message only carries news.
    #[prost(bool, tag = "4")]
    pub one_way: bool,
}

/// Which ping is answered, by what it said itself.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PingEcho {
    /// The process that pinged: its successor at the same address must not take the answer for its own.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// When the ping left, by the clock of that process.
    #[prost(uint64, tag = "2")]
    pub told_us: u64,
}

/// Answers a ping.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    #[prost(message, required, tag = "1")]
    pub sender: HostRumor,
    #[prost(message, required, tag = "2")]
    pub freshness: Freshness,
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<HostRumor>,
    #[prost(message, optional, tag = "4")]
    pub echo: Option<PingEcho>,
}

/// Asks a third host to ping one that does not answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingRequest {
    #[prost(message, required, tag = "1")]
    pub peer: Address,
}

/// A third host has heard from the one that did not answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vouch {
    #[prost(message, required, tag = "1")]
    pub peer: Address,
}

/// Asks the holder of an engine for an adapter there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Want {
    #[prost(string, tag = "1")]
    pub target: String,
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Oldest version that serves.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Requests that wait for it at the sender.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Most urgent priority among them.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// There is a copy elsewhere, which only is busy.
    #[prost(bool, tag = "6")]
    pub spare: bool,
    /// A load that takes longer than this is of no use to the request that asks, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub patience_ms: u32,
}

/// Where an adapter stands on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum PlacementState {
    /// It is not there, and is not coming.
    Absent = 0,
    /// It is on its way.
    Coming = 1,
    Ready = 2,
    /// The engine's places are all in use.
    Full = 3,
    /// The sender gives no orders to that engine.
    NotHolder = 4,
    /// It was there lately, and would come back fast.
    Remembered = 5,
}

/// The holder of an engine tells where an adapter stands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Placement {
    #[prost(string, tag = "1")]
    pub target: String,
    #[prost(string, tag = "2")]
    pub adapter: String,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    #[prost(enumeration = "PlacementState", tag = "4")]
    pub state: i32,
    /// Time until it should be there, when it is coming; when it is absent or the engine can't take it,
    /// the time that a load would take.
    #[prost(uint32, tag = "5")]
    pub due_ms: u32,
    /// Requests for it that started there lately, through all hosts.
    #[prost(uint32, tag = "6")]
    pub uses: u32,
}

/// Answers a query.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineStanding {
    #[prost(message, required, tag = "1")]
    pub load: EngineLoad,
    #[prost(message, optional, tag = "2")]
    pub placement: Option<Placement>,
    /// Leading tokens of the queried prompt that the engine need not read again.
    #[prost(uint32, tag = "3")]
    pub cached_tokens: u32,
    /// Chain of the queried prompt; 0 if the query named none.
    #[prost(fixed64, tag = "4")]
    pub chain: u64,
}

/// Asks a host for a part of its allowance of repeats.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanAsk {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Names the loan to the host that asks.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Thousandths of a repeat.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
}

/// A host lends a part of its allowance of repeats; it counts as spent there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loan {
    #[prost(string, tag = "1")]
    pub service: String,
    /// As in the message that asked for it.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Thousandths of a repeat.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
}

/// One end of a target that speaks against a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PoisonStrike {
    /// Names the end of one start of a target.
    #[prost(fixed64, tag = "1")]
    pub end: u64,
    /// No other target was seen to end with it.
    #[prost(bool, tag = "2")]
    pub alone: bool,
    /// The request had begun there.
    #[prost(bool, tag = "3")]
    pub begun: bool,
    /// Time since then, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// What is known of one request, or of one part of prompts, that targets have ended under.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonEntry {
    /// A request's fingerprint, or the id of a part, which is shorter.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(message, repeated, tag = "2")]
    pub strikes: Vec<PoisonStrike>,
    /// Ends that no longer speak against it.
    #[prost(fixed64, repeated, tag = "3")]
    pub cleared: Vec<u64>,
    /// Time since the last strike, in seconds.
    #[prost(uint32, tag = "4")]
    pub age_s: u32,
    /// Starts of targets that began to answer requests with the part, and ran on.
    #[prost(fixed64, repeated, tag = "5")]
    pub survivors: Vec<u64>,
}

/// Tells of requests and parts of prompts that end targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonNews {
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<PoisonEntry>,
}

/// Asks the host that counts a part of a customer's use to let some of it be used.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargeAsk {
    /// The group of customers that it counts.
    #[prost(uint32, tag = "1")]
    pub slot: u32,
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Names the ask to the host that asks.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    /// Units for the request that waits, all or none, and for those that are likely to follow.
    #[prost(uint32, tag = "4")]
    pub need: u32,
    #[prost(uint32, tag = "5")]
    pub ahead: u32,
}

/// Answers an ask for use.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargeAnswer {
    /// As in the message that asked for it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Units granted; none if there are too few for the request.
    #[prost(uint32, tag = "2")]
    pub granted: u32,
    /// Time until there are enough, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub come_back_ms: u32,
    /// The sender does not count this customer's use.
    #[prost(bool, tag = "4")]
    pub not_counted: bool,
}

/// Units that were granted are not used after all.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargeRefund {
    #[prost(uint32, tag = "1")]
    pub slot: u32,
    #[prost(string, tag = "2")]
    pub customer: String,
    /// As in the message that asked for them.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    #[prost(uint32, tag = "4")]
    pub amount: u32,
}

/// Asks for a place at a target of a plain service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceWanted {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Names the ask to the host that asks.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Targets that the request is not to be sent to.
    #[prost(string, repeated, tag = "3")]
    pub passed_over: Vec<String>,
    /// Time to the answer that the caller wants, and the time that the request has left, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub aim_ms: u32,
    #[prost(uint32, tag = "5")]
    pub left_ms: u32,
}

/// Answers an ask for a place.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceGiven {
    /// As in the message that asked for it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Empty if all targets are full.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The caller of a request without a place does better to come back after this time, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub come_back_ms: u32,
    /// The sender does not give out places of this service, or knows of no target.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

/// A request that had a place ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceEnded {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    /// As in the ask.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    /// It was answered after this time, in milliseconds; absent if it was not.
    #[prost(uint32, optional, tag = "4")]
    pub took_ms: Option<u32>,
    /// The target had no room for it.
    #[prost(bool, tag = "5")]
    pub turned_away: bool,
}

impl PlaceEnded {
    pub fn new(
        service: &str,
        target: &str,
        id: u64,
        end: SlotOutcome,
    ) -> Self {
        let took_ms = match end {
            SlotOutcome::Answered { took } => Some(took.as_millis() as u32),
            SlotOutcome::Rejected | SlotOutcome::Other => None,
        };
        Self {
            service: service.to_string(),
            target: target.to_string(),
            id,
            took_ms,
            turned_away: end == SlotOutcome::Rejected,
        }
    }

    /// How it ended.
    pub fn end(&self) -> SlotOutcome {
        match self.took_ms {
            Some(took) => SlotOutcome::Answered {
                took: Duration::from_millis(u64::from(took)),
            },
            None if self.turned_away => SlotOutcome::Rejected,
            None => SlotOutcome::Other,
        }
    }
}

/// Any message between hosts.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    #[prost(message, tag = "1")]
    Ping(Ping),
    #[prost(message, tag = "2")]
    Ack(Ack),
    #[prost(message, tag = "3")]
    PingRequest(PingRequest),
    #[prost(message, tag = "4")]
    Vouch(Vouch),
    #[prost(message, tag = "5")]
    Want(Want),
    #[prost(message, tag = "6")]
    Placement(Placement),
    #[prost(message, tag = "7")]
    Usage(Usage),
    #[prost(message, tag = "8")]
    EngineLoad(EngineLoad),
    #[prost(message, tag = "9")]
    EngineQuery(EngineQuery),
    #[prost(message, tag = "10")]
    EngineStanding(EngineStanding),
    #[prost(message, tag = "11")]
    LoanAsk(LoanAsk),
    #[prost(message, tag = "12")]
    Loan(Loan),
    #[prost(message, tag = "13")]
    PoisonNews(PoisonNews),
    #[prost(message, tag = "14")]
    ChargeAsk(ChargeAsk),
    #[prost(message, tag = "15")]
    ChargeAnswer(ChargeAnswer),
    #[prost(message, tag = "16")]
    ChargeRefund(ChargeRefund),
    #[prost(message, tag = "17")]
    PlaceWanted(PlaceWanted),
    #[prost(message, tag = "18")]
    PlaceGiven(PlaceGiven),
    #[prost(message, tag = "19")]
    PlaceEnded(PlaceEnded),
    #[prost(message, tag = "20")]
    TargetNews(TargetNews),
    #[prost(message, tag = "21")]
    PermitAsk(PermitAsk),
    #[prost(message, tag = "22")]
    PermitAnswer(PermitAnswer),
    #[prost(message, tag = "23")]
    Holdings(Holdings),
    #[prost(message, tag = "24")]
    HoldingsKnown(HoldingsKnown),
    #[prost(message, tag = "25")]
    PermitReport(PermitReport),
    #[prost(message, tag = "26")]
    OriginRecords(OriginRecords),
    #[prost(message, tag = "27")]
    OriginAsk(OriginAsk),
    #[prost(message, tag = "28")]
    OriginAnswer(OriginAnswer),
}

impl Message {
    /// The kind of message, in figures.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping(_) => "ping",
            Self::Ack(_) => "ack",
            Self::PingRequest(_) => "ping_request",
            Self::Vouch(_) => "vouch",
            Self::Want(_) => "want",
            Self::Placement(_) => "placement",
            Self::Usage(_) => "usage",
            Self::EngineLoad(_) => "engine_load",
            Self::EngineQuery(_) => "engine_query",
            Self::EngineStanding(_) => "engine_standing",
            Self::LoanAsk(_) => "loan_ask",
            Self::Loan(_) => "loan",
            Self::PoisonNews(_) => "poison_news",
            Self::ChargeAsk(_) => "charge_ask",
            Self::ChargeAnswer(_) => "charge_answer",
            Self::ChargeRefund(_) => "charge_refund",
            Self::PlaceWanted(_) => "place_wanted",
            Self::PlaceGiven(_) => "place_given",
            Self::PlaceEnded(_) => "place_ended",
            Self::TargetNews(_) => "target_news",
            Self::PermitAsk(_) => "permit_ask",
            Self::PermitAnswer(_) => "permit_answer",
            Self::Holdings(_) => "holdings",
            Self::HoldingsKnown(_) => "holdings_known",
            Self::PermitReport(_) => "permit_report",
            Self::OriginRecords(_) => "origin_records",
            Self::OriginAsk(_) => "origin_ask",
            Self::OriginAnswer(_) => "origin_answer",
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(
        oneof = "Message",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28"
    )]
    message: Option<Message>,
}

/// The bytes of a message.
pub fn encode(message: Message) -> Vec<u8> {
    let envelope = Envelope {
        message: Some(message),
    };
    envelope.encode_to_vec()
}

/// The message in a datagram; `None` for what this version does not know.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    Envelope::decode(bytes).ok()?.message
}

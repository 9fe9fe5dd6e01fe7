use {
    crate::{
        clock::Instant, connection::target::EngineOrder, request::Refusal, version::AdapterVersion,
    },
    std::time::Duration,
};

/// Names one request at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// A request that asks its owner for leave to run.
#[derive(Debug, Clone)]
pub struct Ticket {
    pub id: TicketId,
    /// The adapter version, for a model engine.
    pub model: Option<AdapterVersion>,
    pub priority: u8,
    /// Worth of the outfitter it is for.
    pub worth: f64,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Whether an absent adapter may be loaded for it.
    pub may_load: bool,
}

/// The verdict on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It may be sent, with this fence.
    Run {
        fence: u64,
        /// Term of the lease that the target was gained in.
        term: u64,
        /// Time that it waited for its adapter to be loaded.
        load_wait: Duration,
    },
    Refused(Refusal),
}

/// What a target's owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetAction {
    /// Tell a request its verdict.
    Answer {
        ticket: TicketId,
        admission: Admission,
    },
    /// Ask for the site-wide permission to load, or raise the score of an earlier ask.
    AskLoad {
        model: AdapterVersion,
        score: f64,
        /// Time until the last of those waiting gives up.
        patience: Duration,
    },
    /// Nobody waits for this load any more, or it has ended.
    ReleaseLoad { model: AdapterVersion },
    /// Give an order, and report how it ended.
    Order {
        fence: u64,
        term: u64,
        order: EngineOrder,
    },
}

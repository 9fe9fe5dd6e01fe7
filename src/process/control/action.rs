use crate::{
    connection::target::EngineOrder,
    process::{
        loads::LoadRequestId,
        membership::MembershipAction,
        ownership::OwnershipAction,
        target::{Admission, TicketId},
    },
    version::AdapterVersion,
};

/// Everything that the control state wants done.
#[derive(Debug, PartialEq)]
pub enum Action {
    Membership(MembershipAction),
    Ownership(OwnershipAction),
    /// Tell a request its verdict.
    Answer {
        ticket: TicketId,
        admission: Admission,
    },
    /// Ask the load scheduler for a permission.
    AskLoad {
        target: String,
        model: AdapterVersion,
        score: f64,
    },
    /// Give a permission back, or withdraw the ask.
    ReleaseLoad {
        target: String,
        model: AdapterVersion,
    },
    Order {
        target: String,
        fence: u64,
        /// Term of the lease that the target was gained in.
        term: u64,
        order: EngineOrder,
    },
    /// Answer an ask to this process's load queue.
    AnswerLoad {
        ask: LoadRequestId,
        granted: bool,
    },
    /// A heartbeat named a newer configuration: read it now.
    ReadConfig,
    /// Have the newer configuration from a host that has it, as the table is out.
    FetchSnapshot {
        host: String,
    },
    /// Tell a host of targets that were handed to it.
    NoticeHandover {
        host: String,
        target: String,
        fence: u64,
    },
}

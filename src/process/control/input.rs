use {
    crate::{
        clock::Instant,
        connection::{
            platform::{ListedHost, RowScan},
            target::{EngineOrder, EngineReport},
        },
        errors::TargetError,
        process::{
            loads::{LoadRequest, LoadRequestId},
            membership::{Heartbeat, Rumor},
            ownership::{OwnerRow, SessionRow},
            target::{Ticket, TicketId},
        },
        version::{AdapterVersion, SiteConfig},
    },
    std::sync::Arc,
};

/// Everything that the control state learns of.
#[derive(Debug)]
pub enum Input {
    Tick,
    /// A request asks for leave to run at a target.
    Arrival {
        target: String,
        ticket: Ticket,
    },
    /// A request waits or runs no more.
    End {
        target: String,
        ticket: TicketId,
        /// True when its end was seen at the target.
        settled: bool,
    },
    /// A target was reached by a request, or not.
    Contact {
        target: String,
        reached: bool,
    },
    /// An engine lacks an adapter that it was believed to hold.
    AdapterMissing {
        target: String,
        model: AdapterVersion,
    },
    /// A target refused this process's fence.
    FencedOff {
        target: String,
    },
    /// An engine reported, or could not be reached.
    Report {
        target: String,
        made: Instant,
        report: Result<EngineReport, TargetError>,
    },
    OrderEnd {
        target: String,
        fence: u64,
        order: EngineOrder,
        outcome: Result<(), TargetError>,
    },
    /// The scheduler granted a load, or did not yet.
    LoadAnswer {
        target: String,
        model: AdapterVersion,
        granted: bool,
    },
    /// Another owner, or this one, asks this process's load queue.
    LoadAsked {
        id: LoadRequestId,
        ask: LoadRequest,
    },
    LoadGone {
        ask: LoadRequestId,
    },
    LoadReleased {
        ask: LoadRequestId,
    },
    HostList(Vec<ListedHost>),
    /// A look at the table succeeded.
    Rows {
        scan: RowScan,
        /// Term of the lease when the look began.
        term: u64,
    },
    /// A look at the table failed.
    TableFailed,
    SessionRead {
        host: String,
        version: u64,
        row: Option<SessionRow>,
        /// When the read was sent.
        asked: Instant,
    },
    /// An ownership row was written or read after a doubtful write.
    OwnerRow {
        target: String,
        version: u64,
        row: OwnerRow,
        /// Term of the lease when the call began.
        term: u64,
    },
    /// A transaction on an ownership row came to nothing.
    OwnerFailed {
        target: String,
    },
    Config(Arc<SiteConfig>),
    Heartbeat {
        heard: Heartbeat,
        rumors: Vec<Rumor>,
    },
    ProbeFailed {
        host: String,
    },
    HelperFailed {
        host: String,
    },
    HelperReached {
        host: String,
    },
    /// Another host says that it handed a target to this one: the table tells.
    HandoverNoticed,
    /// The planned stop begins.
    Leave,
}

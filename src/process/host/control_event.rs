use {
    crate::{
        clock::Instant,
        connection::{
            datagram::{HostRumor, Message},
            targets::ControlRequest,
        },
        errors::RunError,
        formats::{Commit, OrderReply, RowBatch, RowsReply, TargetReport},
        process::{holding::TakenEngine, tables::TableChanges},
    },
    std::net::SocketAddr,
};

/// A table of the store that every host replicates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TableName {
    /// Configuration that operators declare.
    Declared,
    /// Entries that targets write of themselves.
    Targets,
}

/// An input of the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    Tick,
    /// A message from another host.
    Message {
        from: SocketAddr,
        message: Message,
        /// Lower bound of the time at which the message reached this host.
        arrived_after: Instant,
    },
    /// A control request of this host's own traffic.
    Request(ControlRequest),
    /// A read of a table's changes ended; `None` if it failed.
    ChangesRead {
        table: TableName,
        requested_at: Instant,
        reply: Option<RowsReply>,
    },
    /// A read of a complete table ended; `None` if it failed.
    TableRead {
        table: TableName,
        requested_at: Instant,
        rows: Option<RowBatch>,
    },
    /// A pull of changes from another host's replica ended; `None` if it failed.
    ChangesPulled {
        table: TableName,
        from: SocketAddr,
        changes: Option<(TableChanges, Instant)>,
    },
    /// A pull of the hosts that a seed knows, itself included, ended; `None` if the seed did not answer.
    HostsPulled {
        from: SocketAddr,
        hosts: Option<Vec<HostRumor>>,
    },
    /// A renewal of this host's lease ended; `None` if its outcome is unknown.
    Renewed {
        sent: Instant,
        commit: Option<Commit>,
    },
    /// A read of the table of engine holders ended; `None` if it failed.
    HoldersRead {
        term: u64,
        rows: Option<RowBatch>,
    },
    /// A takeover of engines ended; `None` if its outcome is unknown.
    EnginesTaken {
        engines: Vec<TakenEngine>,
        term: u64,
        commit: Option<Commit>,
    },
    /// A check of leases ended; `None` if its outcome is unknown.
    LeasesChecked {
        commit: Option<Commit>,
    },
    OrderEnded {
        target: String,
        reply: Option<OrderReply>,
    },
    /// An order was not sent because the lease had expired.
    OrderCancelled {
        target: String,
    },
    ReportReceived {
        target: String,
        report: Option<TargetReport>,
    },
    /// A read of the stored requests that crash targets ended; `None` if it failed.
    PoisonRead {
        rows: Option<RowBatch>,
    },
    /// A read of what is stored of streams' origins ended; `None` if it failed.
    OriginsRead {
        rows: Option<RowBatch>,
    },
    /// A write of streams' origins ended; `None` if its outcome is unknown.
    OriginsWritten {
        commit: Option<Commit>,
    },
    /// The settings were reloaded.
    SettingsRead(Result<(), RunError>),
    /// The process was asked to stop.
    Stop,
}

impl ControlEvent {
    /// Returns the metric label of this event.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Message { message, .. } => message.kind(),
            Self::Request(_) => "request",
            Self::ChangesRead { .. }
            | Self::TableRead { .. }
            | Self::HoldersRead { .. }
            | Self::PoisonRead { .. }
            | Self::OriginsRead { .. }
            | Self::OriginsWritten { .. } => "store",
            Self::ChangesPulled { .. } | Self::HostsPulled { .. } => "pull",
            Self::Renewed { .. } | Self::EnginesTaken { .. } | Self::LeasesChecked { .. } => {
                "lease"
            }
            Self::OrderEnded { .. } | Self::OrderCancelled { .. } => "order",
            Self::ReportReceived { .. } => "report",
            Self::SettingsRead(_) | Self::Stop => "process",
        }
    }
}

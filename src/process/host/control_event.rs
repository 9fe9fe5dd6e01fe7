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

/// The tables of the store that every host keeps a copy of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TableName {
    /// What operators declare.
    Declared,
    /// What targets record of themselves.
    Targets,
}

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    Tick,
    /// A message of another host.
    Message {
        from: SocketAddr,
        message: Message,
        /// It has reached this host after this time.
        arrived_after: Instant,
    },
    /// A request's need.
    Request(ControlRequest),
    /// The changes of a table were read; `None` if they could not be.
    ChangesRead {
        table: TableName,
        asked: Instant,
        reply: Option<RowsReply>,
    },
    /// A table was read whole; `None` if it could not be.
    TableRead {
        table: TableName,
        asked: Instant,
        rows: Option<RowBatch>,
    },
    /// Another host told what has changed in its copy.
    ChangesPulled {
        table: TableName,
        from: SocketAddr,
        changes: Option<(TableChanges, Instant)>,
    },
    /// A seed told the hosts that it knows, itself included; `None` if it did not answer, and no
    /// process may run there.
    HostsPulled {
        from: SocketAddr,
        hosts: Option<Vec<HostRumor>>,
    },
    /// This host's lease was renewed, or not.
    Renewed {
        sent: Instant,
        commit: Option<Commit>,
    },
    /// The table of holders was read.
    HoldersRead {
        term: u64,
        rows: Option<RowBatch>,
    },
    /// The holder of these engines was changed, or not; `None` if that is not known.
    Taken {
        engines: Vec<TakenEngine>,
        term: u64,
        commit: Option<Commit>,
    },
    OrderEnded {
        target: String,
        reply: Option<OrderReply>,
    },
    /// The lease ended before the order could leave.
    OrderWithheld {
        target: String,
    },
    Reported {
        target: String,
        report: Option<TargetReport>,
    },
    /// What the store keeps of requests that end targets was read; `None` if it could not be.
    PoisonRead {
        rows: Option<RowBatch>,
    },
    /// The settings were read again.
    SettingsRead(Result<(), RunError>),
    /// The process is told to stop.
    Stop,
}

impl ControlEvent {
    /// What woke the control thread, in figures.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Message { message, .. } => message.kind(),
            Self::Request(_) => "request",
            Self::ChangesRead { .. }
            | Self::TableRead { .. }
            | Self::HoldersRead { .. }
            | Self::PoisonRead { .. } => "store",
            Self::ChangesPulled { .. } | Self::HostsPulled { .. } => "pull",
            Self::Renewed { .. } | Self::Taken { .. } => "lease",
            Self::OrderEnded { .. } | Self::OrderWithheld { .. } => "order",
            Self::Reported { .. } => "report",
            Self::SettingsRead(_) | Self::Stop => "process",
        }
    }
}

use {
    super::TableName,
    crate::{
        clock::Instant,
        metrics::{TransferLabels, metrics},
        note,
        timeline::Event,
    },
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        time::Duration,
    },
};

/// Transfers of at least this many bytes are logged.
const MIN_LOGGED_BYTES: usize = 16 * 1024;

/// Transfers that take at least this long are logged.
const MIN_LOGGED_DURATION: Duration = Duration::from_millis(200);

/// Source of a table replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferSource {
    Store,
    Host(SocketAddr),
}

impl TransferSource {
    fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Host(_) => "host",
        }
    }
}

impl Display for TransferSource {
    fn fmt(
        &self,
        formatter: &mut Formatter<'_>,
    ) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Host(address) => address.fmt(formatter),
        }
    }
}

/// A transfer of a table or its changes to this host; its result is counted and logged.
#[derive(Debug)]
pub struct TableTransfer {
    table: TableName,
    source: TransferSource,
    /// Version after which changes are requested; 0 requests the complete table.
    since: u64,
    started: Instant,
}

impl TableTransfer {
    pub fn start(
        table: TableName,
        source: TransferSource,
        since: u64,
    ) -> Self {
        Self {
            table,
            source,
            since,
            started: Instant::now(),
        }
    }

    /// Start of the transfer; the data received is at least as recent.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the time as of which a replica was current, given the age that its sender reported.
    ///
    /// The age counts from the start of the transfer: counted from its end, a replica that took seconds to
    /// arrive would appear newer than it is.
    pub fn current_as_of(
        &self,
        age: Duration,
    ) -> Option<Instant> {
        self.started.checked_sub(age)
    }

    /// Counts a completed transfer and logs a large or slow one.
    pub fn record_completed(
        &self,
        bytes: usize,
    ) {
        self.count("taken", bytes);
        let took = self.started.elapsed();
        if bytes < MIN_LOGGED_BYTES && took < MIN_LOGGED_DURATION {
            return;
        }
        note!(
            Event::CopyTaken,
            table = self.table.label(),
            source = self.source,
            since = self.since,
            bytes = bytes,
            took_ms = took.as_millis(),
        );
    }

    /// Counts a transfer that the other host postponed because its link is busy.
    pub fn record_deferred(&self) {
        self.count("deferred", 0);
    }

    /// Counts and logs a failed transfer, of which `bytes` had arrived.
    pub fn record_failure(
        &self,
        bytes: usize,
        problem: &impl Display,
    ) {
        self.count("failed", bytes);
        note!(
            Event::CopyNotTaken,
            table = self.table.label(),
            source = self.source,
            since = self.since,
            bytes = bytes,
            took_ms = self.started.elapsed().as_millis(),
            problem = format!("{:?}", problem.to_string()),
        );
    }

    fn count(
        &self,
        result: &'static str,
        bytes: usize,
    ) {
        let labels = TransferLabels {
            table: self.table.label(),
            source: self.source.label(),
            result,
        };
        let metrics = metrics();
        metrics.copy_transfers.get_or_create(&labels).inc();
        metrics
            .copy_received
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }
}

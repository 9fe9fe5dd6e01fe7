use {
    super::TableName,
    crate::{
        clock::Instant,
        formats::StoreVersion,
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

/// A transfer of so many bytes gets a line of its own: it fills a link of 10 Mbit/s for 13 ms.
const NOTED_BYTES: usize = 16 * 1024;

/// A transfer that takes so long gets a line of its own: the usual ones take a few milliseconds.
const NOTED_TIME: Duration = Duration::from_millis(200);

/// Where a copy of a table comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    Store,
    Host(SocketAddr),
}

impl CopySource {
    fn word(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Host(_) => "host",
        }
    }
}

impl Display for CopySource {
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

/// A copy of a table, or what has changed in it, on its way to this host; counts and tells how it ends.
#[derive(Debug)]
pub struct CopyTransfer {
    table: TableName,
    source: CopySource,
    /// The version since which changes are asked for, absent for the whole table.
    since: StoreVersion,
    begun: Instant,
}

impl CopyTransfer {
    pub fn begin(
        table: TableName,
        source: CopySource,
        since: StoreVersion,
    ) -> Self {
        Self {
            table,
            source,
            since,
            begun: Instant::now(),
        }
    }

    /// When the transfer began: what it brings was right at that moment or later.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// When a copy was right that the other side told to be so old.
    ///
    /// Its age is told at the beginning of the transfer. Taken as of the end, a copy that was seconds on its
    /// way would seem newer than it is, and nobody would read a newer one.
    pub fn right_at(
        &self,
        age: Duration,
    ) -> Option<Instant> {
        self.begun.checked_sub(age)
    }

    /// It has arrived.
    pub fn note_taken(
        &self,
        bytes: usize,
    ) {
        self.count("taken", bytes);
        let took = self.begun.elapsed();
        if bytes < NOTED_BYTES && took < NOTED_TIME {
            return;
        }
        note!(
            Event::CopyTaken,
            table = self.table.word(),
            source = self.source,
            since = self.since,
            bytes = bytes,
            took_ms = took.as_millis(),
        );
    }

    /// The host that was asked is busy with others; another one will have a copy soon.
    pub fn note_deferred(&self) {
        self.count("deferred", 0);
    }

    /// It came to nothing, though `bytes` of it had arrived.
    pub fn note_failed(
        &self,
        bytes: usize,
        problem: &impl Display,
    ) {
        self.count("failed", bytes);
        note!(
            Event::CopyNotTaken,
            table = self.table.word(),
            source = self.source,
            since = self.since,
            bytes = bytes,
            took_ms = self.begun.elapsed().as_millis(),
            problem = format!("{:?}", problem.to_string()),
        );
    }

    fn count(
        &self,
        result: &'static str,
        bytes: usize,
    ) {
        let labels = TransferLabels {
            table: self.table.word(),
            source: self.source.word(),
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

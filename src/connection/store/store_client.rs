use {
    crate::{
        connection::http1::{CallClient, CallFailure, CallHeaders, CallLimit},
        formats::{
            Commit, FormatError, Formats, HttpCall, HttpReply, Row, RowBatch, RowsReply,
            StoreVersion, Transaction,
        },
        metrics::{CallLabels, metrics},
    },
    std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Pages of one table that are read at the most.
const MAX_PAGES: usize = 64;

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreFailure {
    #[error("not reached: {0}")]
    NotReached(CallFailure),
    /// A write may have been done, or may be done later.
    #[error("no reply: {0}")]
    NoReply(CallFailure),
    #[error("turned away with status {0}")]
    TurnedAway(u16),
    #[error(transparent)]
    Nonsense(#[from] FormatError),
}

/// Too many calls, or out for a moment: with these answers the store has done nothing.
const NOTHING_DONE: [u16; 2] = [429, 503];

impl StoreFailure {
    /// True if a write was not done and will not be.
    pub fn left_nothing(&self) -> bool {
        match self {
            Self::NotReached(_) => true,
            Self::TurnedAway(status) => NOTHING_DONE.contains(status),
            Self::NoReply(_) | Self::Nonsense(_) => false,
        }
    }

    /// Bytes of the reply that had come.
    pub fn received(&self) -> usize {
        match self {
            Self::NotReached(failure) | Self::NoReply(failure) => failure.received,
            Self::TurnedAway(_) | Self::Nonsense(_) => 0,
        }
    }
}

/// Talks to the store; each call has a connection to itself while it lasts.
pub struct StoreClient {
    address: SocketAddr,
    formats: Arc<dyn Formats>,
    limit: CallLimit,
    idle: RefCell<Vec<CallClient>>,
}

impl StoreClient {
    /// A client whose calls may take `limit` each.
    pub fn new(
        address: SocketAddr,
        formats: Arc<dyn Formats>,
        limit: CallLimit,
    ) -> Self {
        Self {
            address,
            formats,
            limit,
            idle: RefCell::default(),
        }
    }

    /// All rows of a table, as of one version or a later one of the same era.
    pub async fn read_table(
        &self,
        table: &str,
    ) -> Result<RowBatch, StoreFailure> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first_version: Option<StoreVersion> = None;
        for _ in 0..MAX_PAGES {
            let after = rows.last().map(|row| row.key.clone());
            let page = self.read_page(table, after.as_deref()).await?;
            // What changes between two pages is told by the changes since the first.
            let version = *first_version.get_or_insert(page.version);
            if page.version.era != version.era {
                let problem = "the store was restored between two pages";
                return Err(FormatError::new("store reply", problem).into());
            }
            let is_new = |row: &Row| after.as_ref().is_none_or(|after| row.key > *after);
            rows.extend(page.rows.into_iter().filter(is_new));
            if !page.more {
                return Ok(RowBatch {
                    rows,
                    version,
                    more: false,
                });
            }
        }
        Err(FormatError::new("store reply", "the table has too many pages").into())
    }

    /// What has changed in a table since a version; waits for a change for up to `wait`.
    ///
    /// A store that was restored since then may have the number of that version, but not its history.
    pub async fn read_changes(
        &self,
        table: &str,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<RowsReply, StoreFailure> {
        let call = self.formats.changes_call(table, since.number, wait);
        let limit = CallLimit {
            whole: self.limit.whole + wait,
            silence: self.limit.silence + wait,
            ..self.limit
        };
        let reply = self.call("changes", &call, limit).await?;
        let reply = self.formats.rows_reply(&reply)?;
        Ok(match reply {
            RowsReply::Rows(batch) if batch.version.era != since.era => RowsReply::HistoryGone,
            reply => reply,
        })
    }

    /// Carries out a transaction.
    pub async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, StoreFailure> {
        let call = self.formats.transaction_call(transaction);
        let reply = self.call("commit", &call, self.limit).await?;
        Ok(self.formats.commit_reply(&reply)?)
    }

    async fn read_page(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> Result<RowBatch, StoreFailure> {
        let call = self.formats.rows_call(table, after);
        let reply = self.call("rows", &call, self.limit).await?;
        match self.formats.rows_reply(&reply)? {
            RowsReply::Rows(batch) => Ok(batch),
            RowsReply::HistoryGone => Err(StoreFailure::TurnedAway(reply.status)),
        }
    }

    async fn call(
        &self,
        name: &'static str,
        call: &HttpCall,
        limit: CallLimit,
    ) -> Result<HttpReply, StoreFailure> {
        let outcome = self.try_call(call, limit).await;
        let labels = CallLabels {
            call: name,
            result: match &outcome {
                Ok(_) => "answered",
                Err(StoreFailure::NotReached(_)) => "not_reached",
                Err(StoreFailure::NoReply(_)) => "no_reply",
                Err(_) => "turned_away",
            },
        };
        metrics().store_calls.get_or_create(&labels).inc();
        outcome
    }

    async fn try_call(
        &self,
        call: &HttpCall,
        limit: CallLimit,
    ) -> Result<HttpReply, StoreFailure> {
        let idle = self.idle.borrow_mut().pop();
        let mut client = idle.unwrap_or_else(|| CallClient::new(self.address));
        let outcome = client.call(call, &CallHeaders::default(), limit).await;
        self.idle.borrow_mut().push(client);
        let reply = outcome.map_err(|failure| match failure.sent {
            true => StoreFailure::NoReply(failure),
            false => StoreFailure::NotReached(failure),
        })?;
        match reply.status {
            429 | 500..=599 => Err(StoreFailure::TurnedAway(reply.status)),
            _ => Ok(reply),
        }
    }
}

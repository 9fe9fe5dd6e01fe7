use {
    super::{
        Commit, HeaderNames, HttpCall, HttpReply, Order, OrderReply, Row, RowsReply, TargetRecord,
        TargetReport, Transaction,
    },
    crate::version::routing::RoutingTable,
    http::Method,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Malformed data from an external system.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {problem}")]
pub struct FormatError {
    pub what: &'static str,
    pub problem: String,
}

impl FormatError {
    pub fn new(
        what: &'static str,
        problem: impl ToString,
    ) -> Self {
        Self {
            what,
            problem: problem.to_string(),
        }
    }
}

/// A decoded row of the operators' table.
#[derive(Debug, Clone)]
pub enum DeclaredRow {
    /// The newest complete configuration.
    Routing(Arc<RoutingTable>),
    /// The newest version of an adapter.
    AdapterVersion {
        model: String,
        adapter: String,
        version: u64,
    },
    /// A row that coveproxy does not use.
    Other,
}

/// An external HTTP call to a host that is not a request for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublicCall {
    /// Requests the entry addresses; `hall` is the caller's, if given.
    Entry {
        hall: Option<String>,
    },
    /// Checks whether this host accepts requests.
    Ready,
    Unknown,
}

/// The formats of a platform: pure functions that convert between its bytes and this crate's types.
///
/// Implementations are stateless, don't block and don't retry.
pub trait Formats: Send + Sync + 'static {
    /// Returns the names of request and response headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the name of the table that operators write to.
    fn declared_table(&self) -> &str;

    /// Returns the name of the table in which targets register.
    fn target_table(&self) -> &str;

    /// Returns the call that reads the rows of a table, starting after the key `after`.
    fn rows_call(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> HttpCall;

    /// Returns the call that reads the changes of a table since a version; the store waits up to `wait` for one.
    fn changes_call(
        &self,
        table: &str,
        since: u64,
        wait: Duration,
    ) -> HttpCall;

    /// Parses the response to a read of rows or changes.
    fn rows_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<RowsReply, FormatError>;

    /// Returns the call that commits a transaction.
    fn transaction_call(
        &self,
        transaction: &Transaction,
    ) -> HttpCall;

    /// Parses the response to a transaction.
    fn commit_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<Commit, FormatError>;

    /// Parses a row of the operators' table.
    fn declared(
        &self,
        row: &Row,
    ) -> Result<DeclaredRow, FormatError>;

    /// Parses a row of the targets' table.
    fn target_record(
        &self,
        row: &Row,
    ) -> Result<TargetRecord, FormatError>;

    /// Returns the call that sends an order to an engine.
    fn order_call(
        &self,
        order: &Order,
    ) -> HttpCall;

    /// Interprets the status of an engine's response to an order.
    fn order_reply(
        &self,
        status: u16,
    ) -> Result<OrderReply, FormatError>;

    /// Returns the call that requests an engine's report.
    fn report_call(&self) -> HttpCall;

    /// Parses an engine's report.
    fn report_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<TargetReport, FormatError>;

    /// Parses an external call to this host.
    fn public_call(
        &self,
        method: &Method,
        path_and_query: &str,
    ) -> PublicCall;

    /// Returns the body that lists the addresses that a caller may use, valid for `ttl`.
    fn entry_body(
        &self,
        addresses: &[SocketAddr],
        ttl: Duration,
    ) -> Vec<u8>;
}

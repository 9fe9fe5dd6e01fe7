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

/// Bytes of an outside system that make no sense.
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

/// A row of the operators' table.
#[derive(Debug, Clone)]
pub enum Declared {
    /// The newest configuration, whole.
    Routing(Arc<RoutingTable>),
    /// The newest version of an adapter.
    AdapterVersion {
        model: String,
        adapter: String,
        version: u64,
    },
    /// Something that does not concern the product.
    Other,
}

/// A call that reaches a host from outside, beside the requests themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublicCall {
    /// Which hosts to use; names the caller's hall if it said so.
    Entry {
        hall: Option<String>,
    },
    /// Whether this host takes requests.
    Ready,
    Unknown,
}

/// The formats of a platform: pure functions between its bytes and the product's types.
///
/// An implementation decides nothing: it has no state, waits for nothing and repeats nothing.
pub trait Formats: Send + Sync + 'static {
    /// Headers of requests and answers.
    fn headers(&self) -> &HeaderNames;

    /// Name of the table that operators write to.
    fn declared_table(&self) -> &str;

    /// Name of the table in which targets record themselves.
    fn target_table(&self) -> &str;

    /// Reads the rows of a table, beginning behind the key `after`.
    fn rows_call(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> HttpCall;

    /// Reads the rows of a table that have changed since a version; waits for one if told to.
    fn changes_call(
        &self,
        table: &str,
        since: u64,
        wait: Duration,
    ) -> HttpCall;

    /// Understands the answer to a read of rows.
    fn rows_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<RowsReply, FormatError>;

    fn transaction_call(
        &self,
        transaction: &Transaction,
    ) -> HttpCall;

    /// Understands the answer to a transaction.
    fn commit_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<Commit, FormatError>;

    /// Understands a row of the operators' table.
    fn declared(
        &self,
        row: &Row,
    ) -> Result<Declared, FormatError>;

    /// Understands a row of the targets' table.
    fn target_record(
        &self,
        row: &Row,
    ) -> Result<TargetRecord, FormatError>;

    fn order_call(
        &self,
        order: &Order,
    ) -> HttpCall;

    /// Understands an engine's answer to an order.
    fn order_reply(
        &self,
        status: u16,
    ) -> Result<OrderReply, FormatError>;

    fn report_call(&self) -> HttpCall;

    /// Understands an engine's report.
    fn report_reply(
        &self,
        reply: &HttpReply,
    ) -> Result<TargetReport, FormatError>;

    /// Understands a call from outside.
    fn public_call(
        &self,
        method: &Method,
        path_and_query: &str,
    ) -> PublicCall;

    /// The body that tells a caller which addresses to use and for how long.
    fn entry_body(
        &self,
        addresses: &[SocketAddr],
        life: Duration,
    ) -> Vec<u8>;
}

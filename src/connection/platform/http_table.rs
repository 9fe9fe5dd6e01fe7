use {
    super::{Commit, Condition, HttpCall, Row, RowScan, Table, Transaction},
    crate::{errors::PlatformError, formats::StoreVersion},
    attohttpc::RequestBuilder,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Header of all answers: rises by one each time that the table comes back from an older copy.
pub const ERA_HEADER: &str = "store-era";

/// Status of a scan since a sequence number that the table does not have.
const HISTORY_GONE: u16 = 410;

/// The table over HTTP: `GET /table/row`, `GET /table/rows`, `POST /table/transact`.
///
/// Numbers on the wire count within an era; versions and sequence numbers of the product hold the era as well.
pub struct HttpTable {
    call: HttpCall,
}

/// A reply and the era of the table in which it was given.
struct Reply<T> {
    body: T,
    era: u32,
}

impl<T> Reply<T> {
    fn version(
        &self,
        number: u64,
    ) -> u64 {
        StoreVersion::new(self.era, number).to_bits()
    }
}

impl HttpTable {
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self {
            call: HttpCall::new("table", address, "/table", timeout),
        }
    }

    fn url(
        &self,
        path: &str,
    ) -> String {
        format!("{}/{path}", self.call.base)
    }

    /// Sends a request; `None` if what was asked for does not exist.
    fn send<B: attohttpc::body::Body, T: DeserializeOwned>(
        &self,
        request: RequestBuilder<B>,
    ) -> Result<Option<Reply<T>>, PlatformError> {
        let Some(response) = self.call.send(request)? else {
            return Ok(None);
        };
        let era = match response.headers().get(ERA_HEADER) {
            Some(value) => value.to_str().ok().and_then(|text| text.parse().ok()),
            None => Some(0),
        };
        let era = era.ok_or_else(|| self.call.bad_reply("the era is no number".into()))?;
        let body = response.json();
        let body = body.map_err(|problem| self.call.bad_reply(problem.to_string()))?;
        Ok(Some(Reply { body, era }))
    }

    fn scan_since(
        &self,
        prefixes: &[&str],
        since: u64,
    ) -> Result<Reply<RowScan>, PlatformError> {
        let request = attohttpc::get(self.url("rows"))
            .param("prefixes", prefixes.join(","))
            .param("since", since);
        let reply = self.send(request)?;
        reply.ok_or_else(|| self.call.bad_reply("no scan".into()))
    }
}

impl Table for HttpTable {
    fn get(
        &self,
        key: &str,
    ) -> Result<Option<Row>, PlatformError> {
        let request = attohttpc::get(self.url("row")).param("key", key);
        let reply: Option<Reply<Row>> = self.send(request)?;
        Ok(reply.map(|reply| Row {
            version: reply.version(reply.body.version),
            ..reply.body
        }))
    }

    fn scan(
        &self,
        prefixes: &[&str],
        since: u64,
    ) -> Result<RowScan, PlatformError> {
        let since = StoreVersion::from_bits(since);
        let scan = match self.scan_since(prefixes, since.number) {
            Err(PlatformError::Refused { status, .. }) if status == HISTORY_GONE => None,
            Ok(reply) if reply.era != since.era && !since.is_absent() => None,
            reply => Some(reply?),
        };
        let is_whole = scan.is_none() || since.is_absent();
        let reply = match scan {
            Some(reply) => reply,
            None => self.scan_since(prefixes, 0)?,
        };
        let sequence = reply.version(reply.body.sequence);
        let era = reply.era;
        let rows = reply.body.rows.into_iter().map(|row| Row {
            version: StoreVersion::new(era, row.version).to_bits(),
            ..row
        });
        Ok(RowScan {
            sequence,
            rows: rows.collect(),
            is_whole,
        })
    }

    fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, PlatformError> {
        let number = |condition: &Condition| {
            let version = StoreVersion::from_bits(condition.version);
            Condition::new(&condition.key, version.number)
        };
        let sent = Transaction {
            conditions: transaction.conditions.iter().map(number).collect(),
            writes: transaction.writes.clone(),
        };
        let request = attohttpc::post(self.url("transact"))
            .json(&sent)
            .map_err(|e| self.call.bad_reply(e.to_string()))?;
        let reply: Option<Reply<Commit>> = self.send(request)?;
        let reply = reply.ok_or_else(|| self.call.bad_reply("no verdict".into()))?;
        let version = |number| StoreVersion::new(reply.era, number).to_bits();
        Ok(match &reply.body {
            Commit::Done { sequence } => Commit::Done {
                sequence: version(*sequence),
            },
            Commit::Conflict { found } => Commit::Conflict {
                found: found
                    .iter()
                    .map(|condition| Condition::new(&condition.key, version(condition.version)))
                    .collect(),
            },
        })
    }
}

use {
    super::{Commit, HttpCall, Row, RowScan, Table, Transaction},
    crate::errors::PlatformError,
    std::{net::SocketAddr, time::Duration},
};

/// The table over HTTP: `GET /table/row`, `GET /table/rows`, `POST /table/transact`.
pub struct HttpTable {
    call: HttpCall,
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
}

impl Table for HttpTable {
    fn get(
        &self,
        key: &str,
    ) -> Result<Option<Row>, PlatformError> {
        let request = attohttpc::get(self.url("row")).param("key", key);
        self.call.json(request)
    }

    fn scan(
        &self,
        prefixes: &[&str],
        since: u64,
    ) -> Result<RowScan, PlatformError> {
        let request = attohttpc::get(self.url("rows"))
            .param("prefixes", prefixes.join(","))
            .param("since", since);
        let scan = self.call.json(request)?;
        scan.ok_or_else(|| self.call.bad_reply("no scan".into()))
    }

    fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, PlatformError> {
        let request = attohttpc::post(self.url("transact"))
            .json(transaction)
            .map_err(|e| self.call.bad_reply(e.to_string()))?;
        let commit = self.call.json(request)?;
        commit.ok_or_else(|| self.call.bad_reply("no verdict".into()))
    }
}

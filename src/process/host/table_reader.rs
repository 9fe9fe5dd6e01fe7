use {
    super::{
        ControlEvent, TableName,
        call_pool::CallPool,
        peer_pages::{changes_call, hosts_call, parse_hosts},
        table_transfer::{TableTransfer, TransferSource},
    },
    crate::{
        clock::Instant,
        connection::{
            http1::{CallFailure, CallLimit},
            pull::CopyPage,
            store::{StoreClient, StoreFailure},
        },
        formats::{Formats, HttpReply, RowBatch, RowsReply},
        process::tables::TableChanges,
    },
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Time limit for the transfer of a complete table.
///
/// It must suffice for the largest table that operators may declare, 4 MB, on a link of 10 Mbit/s: a
/// transfer that is cut off starts over and would never complete.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limits for calls to the store.
pub const STORE_CALL_LIMIT: CallLimit = CallLimit {
    whole: TRANSFER_TIMEOUT,
    silence: Duration::from_millis(900),
};

/// Time limits for calls to other hosts.
const PEER_CALL_LIMIT: CallLimit = CallLimit {
    whole: TRANSFER_TIMEOUT,
    silence: Duration::from_millis(500),
};

/// Reads tables from the store and from other hosts; each read sends an event when it ends.
pub struct TableReader {
    pub formats: Arc<dyn Formats>,
    pub store: Rc<StoreClient>,
    pub calls: Rc<CallPool>,
    pub events: flume::Sender<ControlEvent>,
}

impl TableReader {
    fn name_of(
        &self,
        table: TableName,
    ) -> String {
        match table {
            TableName::Declared => self.formats.declared_table().to_string(),
            TableName::Targets => self.formats.target_table().to_string(),
        }
    }

    /// Reads the changes of a table since a version from the store.
    pub fn read_changes(
        &self,
        table: TableName,
        since: u64,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.name_of(table));
        spawn_local(async move {
            let transfer = TableTransfer::start(table, TransferSource::Store, since);
            let reply = store.read_changes(&name, since, Duration::ZERO).await;
            record_store_read(&transfer, reply.as_ref().map(RowsReply::bytes));
            let _ = events.send(ControlEvent::ChangesRead {
                table,
                requested_at: transfer.started(),
                reply: reply.ok(),
            });
        });
    }

    /// Reads a complete table from the store.
    pub fn read_table(
        &self,
        table: TableName,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.name_of(table));
        spawn_local(async move {
            let transfer = TableTransfer::start(table, TransferSource::Store, 0);
            let rows = store.read_table(&name).await;
            record_store_read(&transfer, rows.as_ref().map(RowBatch::bytes));
            let _ = events.send(ControlEvent::TableRead {
                table,
                requested_at: transfer.started(),
                rows: rows.ok(),
            });
        });
    }

    /// Requests the changes of a table since a version from another host.
    pub fn pull(
        &self,
        table: TableName,
        from: SocketAddr,
        since: u64,
    ) {
        let (events, calls) = (self.events.clone(), self.calls.clone());
        spawn_local(async move {
            let call = changes_call(table, since);
            let transfer = TableTransfer::start(table, TransferSource::Host(from), since);
            let reply = calls.call(from, &call, "", PEER_CALL_LIMIT).await;
            let changes = decode_pull(&transfer, reply);
            let _ = events.send(ControlEvent::ChangesPulled {
                table,
                from,
                changes,
            });
        });
    }

    /// Requests the list of known hosts from another host.
    pub fn pull_hosts(
        &self,
        from: SocketAddr,
    ) {
        let (events, calls) = (self.events.clone(), self.calls.clone());
        spawn_local(async move {
            let reply = calls.call(from, &hosts_call(), "", PEER_CALL_LIMIT).await;
            let hosts = reply
                .ok()
                .filter(|reply| reply.status == 200)
                .and_then(|reply| parse_hosts(&reply.body));
            let _ = events.send(ControlEvent::HostsPulled { from, hosts });
        });
    }
}

/// Counts and logs the result of a read from the store.
fn record_store_read(
    transfer: &TableTransfer,
    bytes: Result<usize, &StoreFailure>,
) {
    match bytes {
        Ok(bytes) => transfer.record_completed(bytes),
        Err(failure) => transfer.record_failure(failure.received(), failure),
    }
}

/// Decodes the changes that another host sent, with the time as of which they were current.
///
/// Counts and logs the result of the transfer.
fn decode_pull(
    transfer: &TableTransfer,
    reply: Result<HttpReply, CallFailure>,
) -> Option<(TableChanges, Instant)> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => {
            transfer.record_failure(failure.received, &failure);
            return None;
        }
    };
    let bytes = reply.body.len();
    match reply.status {
        200 => {}
        503 => {
            transfer.record_deferred();
            return None;
        }
        status => {
            transfer.record_failure(bytes, &format!("status {status}"));
            return None;
        }
    }
    let (body, age) = match CopyPage::read(&reply.body) {
        Ok(page) => page,
        Err(problem) => {
            transfer.record_failure(bytes, &problem);
            return None;
        }
    };
    transfer.record_completed(bytes);
    Some((body.into(), transfer.current_as_of(age)?))
}

use {
    super::{
        ControlEvent, TableName,
        copy_transfer::{CopySource, CopyTransfer},
        kept_calls::KeptCalls,
        peer_pages::{copy_call, hosts_call, parse_hosts},
    },
    crate::{
        clock::Instant,
        connection::{
            http1::{CallFailure, CallHeaders, CallLimit},
            pull::CopyPage,
            store::{StoreClient, StoreFailure},
        },
        formats::{Formats, HttpReply, RowBatch, RowsReply, StoreVersion},
        process::tables::TableChanges,
    },
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Longest time for a whole table: 4 MB, the most that operators may declare, take 4.5 s on a link of
/// 10 Mbit/s in the store's text form.
///
/// A shorter limit on the whole would cut each transfer that does not fit into it, and each try would
/// begin anew: such a table never arrives, and its link is full of bytes that nobody uses.
const TRANSFER_LIMIT: Duration = Duration::from_secs(10);

/// Calls to the store, which answers within some milliseconds unless it is slow or out.
pub const STORE_LIMIT: CallLimit = CallLimit::transfer(TRANSFER_LIMIT, Duration::from_millis(900));

/// Calls to other hosts, which answer within some milliseconds.
const PULL_LIMIT: CallLimit = CallLimit::transfer(TRANSFER_LIMIT, Duration::from_millis(500));

/// Reads tables from the store and from other hosts; each read ends with an event.
pub struct CopyReader {
    pub formats: Arc<dyn Formats>,
    pub store: Rc<StoreClient>,
    pub calls: Rc<KeptCalls>,
    pub events: flume::Sender<ControlEvent>,
}

impl CopyReader {
    fn name_of(
        &self,
        table: TableName,
    ) -> String {
        match table {
            TableName::Declared => self.formats.declared_table().to_string(),
            TableName::Targets => self.formats.target_table().to_string(),
        }
    }

    /// Reads from the store what has changed in a table since a version.
    pub fn read_changes(
        &self,
        table: TableName,
        since: StoreVersion,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.name_of(table));
        spawn_local(async move {
            let transfer = CopyTransfer::begin(table, CopySource::Store, since);
            let reply = store.read_changes(&name, since, Duration::ZERO).await;
            tell_store_read(&transfer, reply.as_ref().map(RowsReply::bytes));
            let _ = events.send(ControlEvent::ChangesRead {
                table,
                requested_at: transfer.begun(),
                reply: reply.ok(),
            });
        });
    }

    /// Reads a whole table from the store.
    pub fn read_table(
        &self,
        table: TableName,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.name_of(table));
        spawn_local(async move {
            let transfer = CopyTransfer::begin(table, CopySource::Store, StoreVersion::default());
            let rows = store.read_table(&name).await;
            tell_store_read(&transfer, rows.as_ref().map(RowBatch::bytes));
            let _ = events.send(ControlEvent::TableRead {
                table,
                requested_at: transfer.begun(),
                rows: rows.ok(),
            });
        });
    }

    /// Asks another host for what has changed in its copy since a version.
    pub fn pull(
        &self,
        table: TableName,
        from: SocketAddr,
        since: StoreVersion,
    ) {
        let (events, calls) = (self.events.clone(), self.calls.clone());
        spawn_local(async move {
            let call = copy_call(table, since);
            let transfer = CopyTransfer::begin(table, CopySource::Host(from), since);
            let reply = calls
                .call(from, &call, &CallHeaders::default(), PULL_LIMIT)
                .await;
            let changes = understand_pull(&transfer, reply);
            let _ = events.send(ControlEvent::ChangesPulled {
                table,
                from,
                changes,
            });
        });
    }

    /// Asks another host for the hosts that it knows.
    pub fn pull_hosts(
        &self,
        from: SocketAddr,
    ) {
        let (events, calls) = (self.events.clone(), self.calls.clone());
        spawn_local(async move {
            let reply = calls
                .call(from, &hosts_call(), &CallHeaders::default(), PULL_LIMIT)
                .await;
            let hosts = reply
                .ok()
                .filter(|reply| reply.status == 200)
                .and_then(|reply| parse_hosts(&reply.body));
            let _ = events.send(ControlEvent::HostsPulled { from, hosts });
        });
    }
}

/// Tells how a read of a table from the store ended.
fn tell_store_read(
    transfer: &CopyTransfer,
    bytes: Result<usize, &StoreFailure>,
) {
    match bytes {
        Ok(bytes) => transfer.note_taken(bytes),
        Err(failure) => transfer.note_failed(failure.received(), failure),
    }
}

/// Understands another host's copy, with the time at which it was right, and tells how its transfer ended.
fn understand_pull(
    transfer: &CopyTransfer,
    reply: Result<HttpReply, CallFailure>,
) -> Option<(TableChanges, Instant)> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => {
            transfer.note_failed(failure.received, &failure);
            return None;
        }
    };
    let bytes = reply.body.len();
    match reply.status {
        200 => {}
        503 => {
            transfer.note_deferred();
            return None;
        }
        status => {
            transfer.note_failed(bytes, &format!("status {status}"));
            return None;
        }
    }
    let (body, age) = match CopyPage::read(&reply.body) {
        Ok(page) => page,
        Err(problem) => {
            transfer.note_failed(bytes, &problem);
            return None;
        }
    };
    transfer.note_taken(bytes);
    Some((body.into(), transfer.right_at(age)?))
}

//! Keeps the replicas of the store's tables up to date: reads, pulls from other hosts, and changed rows.

use {
    super::{ControlAction, HostControl, TableName},
    crate::{
        clock::Instant,
        connection::{
            datagram::{Freshness, HostRumor, Message},
            targets::{TableFreshness, VersionHistory},
        },
        formats::{Declared, Formats, Row, RowBatch, RowsReply, StoreVersion},
        note,
        process::tables::{Comparison, TableChanges},
        timeline::{Event, quoted},
        version::routing::RoutingTable,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Uncompressed size in bytes from which a received replica is announced to further hosts, as its first
/// holder can't serve all hosts at once.
const LARGE_REPLICA_BYTES: usize = 64 * 1024;

/// Number of hosts to which each host announces a large replica that it has received.
const LARGE_REPLICA_FANOUT: usize = 8;

/// Assumed transit time of a message from a host whose clock is not yet estimated.
///
/// A replica's age is stated as of when the message was sent. Without this allowance, hosts that confirm each
/// other's replicas would keep them at age 0, and no host would read the store.
const ASSUMED_TRANSIT_TIME: Duration = Duration::from_millis(50);

/// Fingerprint of every entry that names no target, so that rewriting one with other bytes is no change.
const UNUSABLE_FINGERPRINT: u64 = 0;

/// Changed rows of a table and where they came from.
pub(super) struct RowChanges<'a> {
    rows: &'a [Row],
    /// The store or the address of a host, for log lines.
    pub source: &'a str,
    /// Freshness of the replica before these changes.
    pub before: TableFreshness,
}

impl HostControl {
    /// Starts reads of the tables whose replicas are too old.
    pub(super) fn start_table_reads(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let link_rank = self.hosts.link_rank();
        let mut actions = Vec::new();
        for table in [TableName::Declared, TableName::Targets] {
            let replicated = self.table_mut(table);
            let staleness = replicated.replica.staleness(now);
            if replicated.schedule.start_if_due(staleness, link_rank, now) {
                actions.push(match replicated.replica.is_known() {
                    true => ControlAction::ReadChanges {
                        table,
                        since: replicated.replica.version(),
                    },
                    false => ControlAction::ReadTable { table },
                });
            }
        }
        actions
    }

    pub(super) fn on_changes_read(
        &mut self,
        table: TableName,
        requested_at: Instant,
        reply: Option<RowsReply>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let Some(RowsReply::Rows(batch)) = reply else {
            let history_gone = reply == Some(RowsReply::HistoryGone);
            if history_gone {
                note!(
                    Event::TableHistoryGone,
                    table = table.word(),
                    since = self.table_mut(table).replica.version()
                );
                return vec![ControlAction::ReadTable { table }];
            }
            self.record_read_end(table, false, now);
            return Vec::new();
        };
        let fingerprint_of = fingerprint(table, &self.formats);
        let before = self.table_mut(table).replica_freshness();
        let mut actions = self.observe_store(batch.version, now);
        self.record_answered_read(table, batch.version, now);
        let rows = self
            .table_mut(table)
            .replica
            .apply_changes(batch, requested_at, fingerprint_of);
        let row_changes = RowChanges {
            rows: &rows,
            source: "store",
            before,
        };
        actions.extend(self.apply_rows(table, &row_changes, now));
        // Reads of both tables mostly end at the same time; on a large site, one message announces both.
        self.unannounced_read = rows.is_empty() && !self.hosts.lists_holdings();
        if !self.unannounced_read {
            actions.extend(self.notify_all_hosts(now));
        }
        actions
    }

    /// Announces reads that brought no change.
    pub(super) fn announce_read(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        match std::mem::take(&mut self.unannounced_read) {
            true => self.notify_all_hosts(now),
            false => Vec::new(),
        }
    }

    pub(super) fn on_table_read(
        &mut self,
        table: TableName,
        requested_at: Instant,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let fingerprint_of = fingerprint(table, &self.formats);
        let before = self.table_mut(table).replica_freshness();
        let Some(rows) = rows else {
            self.record_read_end(table, false, now);
            return Vec::new();
        };
        let mut actions = self.observe_store(rows.version, now);
        self.record_answered_read(table, rows.version, now);
        let rows = self
            .table_mut(table)
            .replica
            .apply_snapshot(rows, requested_at, fingerprint_of);
        let row_changes = RowChanges {
            rows: &rows,
            source: "store",
            before,
        };
        actions.extend(self.apply_rows(table, &row_changes, now));
        actions
    }

    /// Handles the freshness of another host's replicas, from a message that arrived after `arrived_after`.
    ///
    /// Ages count from when the message was sent: it may have waited on a full link, or here while the process
    /// was suspended.
    pub(super) fn on_freshness(
        &mut self,
        sender: &HostRumor,
        freshness: &Freshness,
        arrived_after: Instant,
        now: Instant,
    ) -> Vec<ControlAction> {
        let from = sender.peer.into();
        let sender_uptime = Duration::from_micros(freshness.told_us);
        let estimated = self
            .clocks
            .earliest_send_time(from, sender.process, sender_uptime, now);
        let assumed = arrived_after.checked_sub(ASSUMED_TRANSIT_TIME);
        let Some(sent_at) = estimated.map(|at| at.min(arrived_after)).or(assumed) else {
            return Vec::new();
        };
        let published = [
            (TableName::Declared, freshness.declared),
            (TableName::Targets, freshness.targets),
        ];
        let mut actions = Vec::new();
        for (table, state) in published {
            let staleness = state
                .age_ms
                .map(|staleness| Duration::from_millis(u64::from(staleness)));
            let Some(as_of) = staleness.and_then(|staleness| sent_at.checked_sub(staleness)) else {
                continue;
            };
            let replicated = self.table_mut(table);
            let comparison = replicated.replica.compare(
                StoreVersion::from_bits(state.version),
                state.digest,
                as_of,
            );
            if comparison != Comparison::Newer || replicated.pulling_from.is_some() {
                continue;
            }
            replicated.pulling_from = Some(from);
            actions.push(ControlAction::PullChanges {
                table,
                from,
                since: replicated.replica.version(),
            });
        }
        actions
    }

    pub(super) fn on_changes_pulled(
        &mut self,
        table: TableName,
        from: SocketAddr,
        changes: Option<(TableChanges, Instant)>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let fingerprint_of = fingerprint(table, &self.formats);
        let replicated = self.table_mut(table);
        if replicated.pulling_from == Some(from) {
            replicated.pulling_from = None;
        }
        let Some((changes, as_of)) = changes else {
            return Vec::new();
        };
        let is_full = changes.is_full;
        let is_large = changes.bytes() >= LARGE_REPLICA_BYTES;
        let before = replicated.replica_freshness();
        let (rows, is_equal) =
            replicated
                .replica
                .apply_host_changes(changes, as_of, fingerprint_of);
        let mut actions = Vec::new();
        if !is_equal && !is_full {
            // One side missed a change that was reverted later; pull the complete table.
            replicated.pulling_from = Some(from);
            actions.push(ControlAction::PullChanges {
                table,
                from,
                since: StoreVersion::default(),
            });
        }
        let row_changes = RowChanges {
            rows: &rows,
            source: &from.to_string(),
            before,
        };
        actions.extend(self.apply_rows(table, &row_changes, now));
        if is_large && is_equal {
            // Hosts that a busy holder rejected can pull it from here.
            let peers = self.hosts.pick_reachable(LARGE_REPLICA_FANOUT);
            actions.extend(self.notify_hosts(peers, now));
        }
        actions
    }

    /// Returns the changes of a table since a version, and the age of this host's replica.
    pub fn changes_for_host(
        &self,
        table: TableName,
        since: StoreVersion,
        now: Instant,
    ) -> (TableChanges, Option<Duration>) {
        let replica = match table {
            TableName::Declared => &self.declared.replica,
            TableName::Targets => &self.listed.replica,
        };
        (replica.changes_since(since), replica.staleness(now))
    }

    /// Records the end of a read that the store answered as of a version.
    fn record_answered_read(
        &mut self,
        table: TableName,
        version: StoreVersion,
        now: Instant,
    ) {
        self.record_read_end(table, true, now);
        let replicated = self.table_mut(table);
        let known = replicated.replica.version();
        if version < known {
            replicated.schedule.on_outdated(now);
            note!(
                Event::TableReadOutdated,
                table = table.word(),
                read = version,
                known = known
            );
        }
    }

    /// Records the end of a read from the store.
    fn record_read_end(
        &mut self,
        table: TableName,
        succeeded: bool,
        now: Instant,
    ) {
        let replicated = self.table_mut(table);
        let failures = replicated.schedule.failures();
        replicated.schedule.on_end(succeeded, now);
        let age_ms = replicated
            .replica
            .staleness(now)
            .map_or(-1.0, |staleness| staleness.as_secs_f64() * 1000.0);
        if !succeeded && failures == 0 {
            note!(
                Event::TableUnreachable,
                table = table.word(),
                age_ms = age_ms
            );
        }
        if succeeded && failures > 0 {
            note!(Event::TableBack, table = table.word(), failures = failures);
        }
    }

    /// Sends a one-way ping to every host that is up.
    pub(super) fn notify_all_hosts(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let peers: Vec<SocketAddr> = self
            .hosts
            .hosts()
            .filter(|host| host.state.is_up())
            .map(|host| host.identity.peer)
            .collect();
        self.notify_hosts(peers, now)
    }

    /// Sends a one-way ping to these hosts.
    pub(super) fn notify_hosts(
        &mut self,
        peers: Vec<SocketAddr>,
        now: Instant,
    ) -> Vec<ControlAction> {
        peers
            .into_iter()
            .map(|to| ControlAction::Send {
                to,
                message: Message::Ping(self.notification(now)),
            })
            .collect()
    }

    fn apply_rows(
        &mut self,
        table: TableName,
        row_changes: &RowChanges,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for row in row_changes.rows {
            match table {
                TableName::Declared => self.apply_declared(row, row_changes, now),
                TableName::Targets => actions.extend(self.apply_target_row(row, row_changes, now)),
            }
        }
        actions
    }

    fn apply_declared(
        &mut self,
        row: &Row,
        row_changes: &RowChanges,
        now: Instant,
    ) {
        match self.formats.declared(row) {
            Ok(Declared::Routing(routing)) => self.apply_routing(routing, row_changes.source, now),
            Ok(Declared::AdapterVersion {
                model,
                adapter,
                version,
            }) => {
                self.apply_adapter_version(format!("{model}/{adapter}"), version, row_changes, now)
            }
            Ok(Declared::Other) => {}
            Err(problem) => {
                note!(
                    Event::ConfigUnreadable,
                    row = quoted(&row.key),
                    problem = quoted(&problem)
                );
            }
        }
    }

    fn apply_routing(
        &mut self,
        routing: Arc<RoutingTable>,
        source: &str,
        now: Instant,
    ) {
        if routing.version <= self.routing.version {
            return;
        }
        note!(
            Event::ConfigApplied,
            version = routing.version,
            before = self.routing.version,
            source = source,
            routes = routing.routes().count(),
            customers = routing.customers.iter().count(),
            keys = routing.customers.key_count(),
            shared_keys = routing.customers.shared_key_count(),
        );
        self.routing = routing;
        self.engines = None;
        self.changed = true;
        // Others may send requests as soon as this host is ready, so the routes are published at once.
        self.next_publish = now;
        self.set_engine_specs(now);
    }

    fn apply_adapter_version(
        &mut self,
        adapter: String,
        version: u64,
        row_changes: &RowChanges,
        now: Instant,
    ) {
        let known = self.versions.get(&adapter);
        let before = known.map_or(1, VersionHistory::newest);
        if version <= before {
            return;
        }
        // Age of the last confirmation that the previous version was the newest.
        let before_age = row_changes
            .before
            .confirmed_at
            .map(|at| now.saturating_duration_since(at));
        note!(
            Event::AdapterVersionSeen,
            adapter = adapter,
            version = version,
            before = before,
            before_age_ms = before_age.map_or(-1.0, |staleness| staleness.as_secs_f64() * 1000.0),
            source = row_changes.source
        );
        for allocator in self.allocators.values_mut() {
            allocator.on_newest_version(&adapter, version);
        }
        let versions = Arc::make_mut(&mut self.versions);
        let history = versions.entry(adapter).or_default();
        history.on_published(version, row_changes.before.confirmed_at);
        self.changed = true;
    }
}

/// Returns a function that maps equivalent values of a row to the same fingerprint. The adapters of a target
/// are ignored, as the host that holds the engine knows them better.
fn fingerprint(
    table: TableName,
    formats: &Arc<dyn Formats>,
) -> impl Fn(&Row) -> u64 + use<> {
    let formats = formats.clone();
    move |row| {
        let value = row.value.as_deref().unwrap_or_default();
        if table == TableName::Declared {
            return xxh3_64(value);
        }
        match formats.target_record(row) {
            Ok(mut record) => {
                for model in &mut record.models {
                    model.adapters.clear();
                }
                xxh3_64(format!("{record:?}").as_bytes())
            }
            Err(_) => UNUSABLE_FINGERPRINT,
        }
    }
}

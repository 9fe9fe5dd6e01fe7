//! The control thread's part for the copies of the store's tables.

use {
    super::{ControlAction, HostControl, TableName},
    crate::{
        clock::Instant,
        connection::{
            datagram::{Freshness, HostRumor, Message},
            targets::{TableFreshness, VersionHistory},
        },
        formats::{DeclaredRow, Formats, Row, RowBatch, RowsReply},
        note,
        process::tables::{Comparison, TableChanges},
        timeline::Event,
        version::routing::RoutingTable,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// A copy of so many bytes, before it is packed, goes from host to host, as its first holder can't serve all
/// at once; packed to a tenth or less, smaller ones are handed out without waiting.
const LARGE_COPY: usize = 64 * 1024;

/// Hosts that are told by each host that has got a large copy: with 8 each, a site of 75 hosts knows of
/// one within two or three steps, and each host gets some 8 messages.
const TOLD_OF_LARGE_COPY: usize = 8;

/// Time that a message between hosts is taken to be on its way before its sender has answered a ping. An
/// assumption: well above the 0.5 to 1.4 ms one way between halls, well below the seconds that ages are held
/// against.
///
/// A copy's age is told as of when the message left. Without this time, hosts that confirm each other's copies
/// would keep them young and nobody would read the store: a copy confirmed every 30 ms for 6 s had age 0.
const MESSAGE_TIME: Duration = Duration::from_millis(50);

/// Characters of a text from elsewhere that go into a line, at the most: what others write may be large.
const MOST_QUOTED: usize = 160;

/// Stands for the meaning of every entry that names no target: whoever writes one again and again, each time
/// with other bytes, changes nothing.
const UNUSABLE_PRINT: u64 = 0;

/// Rows of a table that have changed, as this host learnt of them.
pub(super) struct RowNews<'a> {
    rows: &'a [Row],
    /// Who told, for lines.
    pub source: &'a str,
    /// How well the copy without them was known to be right.
    pub before: TableFreshness,
}

impl HostControl {
    /// Reads the tables whose copies have got too old.
    pub(super) fn read_tables(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let place = self.hosts.place_by_link();
        let mut actions = Vec::new();
        for table in [TableName::Declared, TableName::Targets] {
            let kept = self.kept(table);
            let age = kept.copy.age(now);
            if kept.schedule.start(age, place, now) {
                actions.push(match kept.copy.is_known() {
                    true => ControlAction::ReadChanges {
                        table,
                        since: kept.copy.version(),
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
        asked: Instant,
        reply: Option<RowsReply>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let Some(RowsReply::Rows(batch)) = reply else {
            let history_gone = reply == Some(RowsReply::HistoryGone);
            if history_gone {
                return vec![ControlAction::ReadTable { table }];
            }
            self.note_read_end(table, false, now);
            return Vec::new();
        };
        let print = fingerprint(table, &self.formats);
        let before = self.kept(table).confirmation();
        self.note_read_end(table, true, now);
        let rows = self.kept(table).copy.apply_changes(batch, asked, print);
        let news = RowNews {
            rows: &rows,
            source: "store",
            before,
        };
        let mut actions = self.take_rows(table, &news, now);
        actions.extend(self.tell_all(now));
        actions
    }

    pub(super) fn on_table_read(
        &mut self,
        table: TableName,
        asked: Instant,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let print = fingerprint(table, &self.formats);
        let before = self.kept(table).confirmation();
        self.note_read_end(table, rows.is_some(), now);
        let Some(rows) = rows else {
            return Vec::new();
        };
        let rows = self.kept(table).copy.apply_whole(rows, asked, print);
        let news = RowNews {
            rows: &rows,
            source: "store",
            before,
        };
        self.take_rows(table, &news, now)
    }

    /// Another host told how new its copies are, in a message that has arrived after `arrived_after`.
    ///
    /// Taken as of when the message is read, what had lain here while the process stood still for 3 s made
    /// copies seem 3 s younger than they were; taken as of when it arrived, what had waited for 0.6 s on full
    /// links let hosts send to targets that had left more than the bound of 2 s before.
    pub(super) fn on_freshness(
        &mut self,
        sender: &HostRumor,
        freshness: &Freshness,
        arrived_after: Instant,
        now: Instant,
    ) -> Vec<ControlAction> {
        let from = sender.peer.into();
        let told = Duration::from_micros(freshness.told_us);
        let left = self.clocks.left_after(from, sender.process, told, now);
        let assumed = arrived_after.checked_sub(MESSAGE_TIME);
        let Some(told_at) = left.map(|left| left.min(arrived_after)).or(assumed) else {
            return Vec::new();
        };
        let told = [
            (TableName::Declared, freshness.declared),
            (TableName::Targets, freshness.targets),
        ];
        let mut actions = Vec::new();
        for (table, state) in told {
            let age = state
                .age_ms
                .map(|age| Duration::from_millis(u64::from(age)));
            let Some(as_of) = age.and_then(|age| told_at.checked_sub(age)) else {
                continue;
            };
            let kept = self.kept(table);
            let comparison = kept.copy.compare(state.version, state.digest, as_of);
            if comparison != Comparison::Newer || kept.pulling.is_some() {
                continue;
            }
            kept.pulling = Some(from);
            actions.push(ControlAction::PullChanges {
                table,
                from,
                since: kept.copy.version(),
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
        let print = fingerprint(table, &self.formats);
        let kept = self.kept(table);
        if kept.pulling == Some(from) {
            kept.pulling = None;
        }
        let Some((changes, as_of)) = changes else {
            return Vec::new();
        };
        let whole = changes.whole;
        let large = changes.bytes() >= LARGE_COPY;
        let before = kept.confirmation();
        let (rows, same) = kept.copy.apply_from_host(changes, as_of, print);
        let mut actions = Vec::new();
        if !same && !whole {
            // A change that was taken back again was missed by one of the two.
            kept.pulling = Some(from);
            actions.push(ControlAction::PullChanges {
                table,
                from,
                since: 0,
            });
        }
        let news = RowNews {
            rows: &rows,
            source: &from.to_string(),
            before,
        };
        actions.extend(self.take_rows(table, &news, now));
        if large && same {
            // Whoever was turned away by a busy host gets it here.
            let some = self.hosts.pick_up(TOLD_OF_LARGE_COPY);
            actions.extend(self.tell(some, now));
        }
        actions
    }

    /// What this host's copy of a table tells another host.
    pub fn changes_for_host(
        &self,
        table: TableName,
        since: u64,
        now: Instant,
    ) -> (TableChanges, Option<Duration>) {
        let copy = match table {
            TableName::Declared => &self.declared.copy,
            TableName::Targets => &self.listed.copy,
        };
        (copy.changes_since(since), copy.age(now))
    }

    /// A read of a table from the store ended.
    fn note_read_end(
        &mut self,
        table: TableName,
        succeeded: bool,
        now: Instant,
    ) {
        let kept = self.kept(table);
        let failures = kept.schedule.failures();
        kept.schedule.on_end(succeeded, now);
        let age_ms = kept
            .copy
            .age(now)
            .map_or(-1.0, |age| age.as_secs_f64() * 1000.0);
        if !succeeded && failures == 0 {
            note!(
                Event::TableUnreachable,
                table = table.label(),
                age_ms = age_ms
            );
        }
        if succeeded && failures > 0 {
            note!(Event::TableBack, table = table.label(), failures = failures);
        }
    }

    /// Sends every host a message that needs no answer.
    pub(super) fn tell_all(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let peers: Vec<SocketAddr> = self
            .hosts
            .hosts()
            .filter(|host| host.state.is_up())
            .map(|host| host.identity.peer)
            .collect();
        self.tell(peers, now)
    }

    /// Sends these hosts a message that needs no answer.
    pub(super) fn tell(
        &mut self,
        peers: Vec<SocketAddr>,
        now: Instant,
    ) -> Vec<ControlAction> {
        peers
            .into_iter()
            .map(|to| ControlAction::Send {
                to,
                message: Message::Ping(self.ping_message(true, now)),
            })
            .collect()
    }

    fn take_rows(
        &mut self,
        table: TableName,
        news: &RowNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for row in news.rows {
            match table {
                TableName::Declared => self.take_declared(row, news, now),
                TableName::Targets => actions.extend(self.take_target(row, news, now)),
            }
        }
        actions
    }

    fn take_declared(
        &mut self,
        row: &Row,
        news: &RowNews,
        now: Instant,
    ) {
        match self.formats.declared(row) {
            Ok(DeclaredRow::Routing(routing)) => self.take_routing(routing, news.source, now),
            Ok(DeclaredRow::AdapterVersion {
                model,
                adapter,
                version,
            }) => self.take_version(format!("{model}/{adapter}"), version, news, now),
            Ok(DeclaredRow::Other) => {}
            Err(problem) => {
                note!(
                    Event::ConfigUnreadable,
                    row = quoted(&row.key),
                    problem = quoted(&problem)
                );
            }
        }
    }

    fn take_routing(
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
            shared_keys = routing.customers.duplicate_key_count(),
        );
        self.routing = routing;
        self.engines = None;
        self.changed = true;
        // Whoever learns that this host is ready may send at once: requests must know the routes by then.
        self.next_publish = now;
        self.set_engine_specs(now);
    }

    fn take_version(
        &mut self,
        adapter: String,
        version: u64,
        news: &RowNews,
        now: Instant,
    ) {
        let known = self.versions.get(&adapter);
        let before = known.map_or(1, VersionHistory::newest);
        if version <= before {
            return;
        }
        // How long ago the version before was known to be the newest, at the most.
        let before_age = news
            .before
            .confirmed_at
            .map(|at| now.saturating_duration_since(at));
        note!(
            Event::AdapterVersionSeen,
            adapter = adapter,
            version = version,
            before = before,
            before_age_ms = before_age.map_or(-1.0, |age| age.as_secs_f64() * 1000.0),
            source = news.source
        );
        for desk in self.desks.values_mut() {
            desk.on_newest_version(&adapter, version);
        }
        let versions = Arc::make_mut(&mut self.versions);
        let history = versions.entry(adapter).or_default();
        history.on_published(version, news.before.confirmed_at);
        self.changed = true;
    }
}

/// A text from elsewhere as one value of a line, which it must not make long.
pub(super) fn quoted(text: &impl ToString) -> String {
    let text = text.to_string();
    let start: String = text.chars().take(MOST_QUOTED).collect();
    format!("{start:?}")
}

/// Equal for two values of a row that mean the same here; which adapters a target holds does not
/// matter, since holders know better.
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
            Err(_) => UNUSABLE_PRINT,
        }
    }
}

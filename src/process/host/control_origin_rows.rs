//! Control-thread handling of what the store keeps of streams' origins for the time after a loss of all hosts.
//!
//! A few hosts store which versions the targets of each service have had. While a service has several, each host also stores the
//! origins of its own streams. A host that may have missed versions reads all of it once it is asked for an origin.

use {
    super::{
        ControlAction, HostControl,
        origin_rows::{
            ORIGIN_TABLE, OriginRow, VersionRow, delete_write, streams_key, streams_write,
            version_key, version_write,
        },
    },
    crate::{
        clock::Instant,
        connection::datagram::{OriginAnswer, OriginAsk, OriginRecords},
        formats::{Commit, Row, RowBatch, RowKey, RowWrite, SoftwareId},
        note,
        request::origins::{ORIGIN_TTL, StreamKey, StreamOrigin},
        timeline::{Event, quoted},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Number of hosts that store versions: more than one, as one may be cut off.
const VERSION_WRITERS: usize = 3;

/// Interval at which one host stores origins, and what is added to it for each host of the site.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
const WRITE_INTERVAL_PER_HOST: Duration = Duration::from_millis(20);

/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Minimum time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Age from which the copy of the list of targets counts as out of date.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Interval at which the versions of the listed targets are noted.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// Origins in one row, so that it stays below the size of a row.
const MAX_ORIGINS_PER_ROW: usize = 1_024;

/// Rows of streams in one transaction.
const MAX_STREAM_ROWS: usize = 16;

/// Writes of versions, and of deletions, in one transaction: with the streams less than it may hold.
const MAX_WRITES: usize = 40;

/// Origins that wait to be stored; the oldest give way.
const MAX_UNSAVED: usize = 16_384;

/// Searches that wait for one read.
const MAX_WAITING: usize = 1_024;

/// A transaction whose outcome is awaited.
#[derive(Debug)]
struct PendingWrite {
    /// Era of the store for which it was written.
    era: u32,
    /// Versions whose rows it writes or, without a value, deletes.
    versions: Vec<((String, SoftwareId), Option<bool>)>,
    /// Origins that it stores, by their rows.
    streams: Vec<(RowKey, Vec<StreamOrigin>)>,
    /// Rows of streams that it deletes.
    deleted: usize,
}

impl PendingWrite {
    fn stream_count(&self) -> usize {
        self.streams.iter().map(|(_, origins)| origins.len()).sum()
    }
}

/// What this host has stored, and what waits to be stored.
#[derive(Debug, Default)]
pub(super) struct OriginStore {
    /// Rows of versions, and whether they say that they are all.
    pub versions: BTreeMap<(String, SoftwareId), bool>,
    /// Origins of this host's own streams that are not stored, the oldest first.
    unsaved: VecDeque<StreamOrigin>,
    /// Rows of streams, each with the time from which no stream of it can be taken up; the oldest first.
    stream_rows: VecDeque<(RowKey, Instant)>,
    next_row: u64,
    pending: Option<PendingWrite>,
    pub next_write: Option<Instant>,
    next_note: Option<Instant>,
    is_reading: bool,
    next_read: Option<Instant>,
    /// The rows have been read, or there were none when this host started.
    pub has_read: bool,
    /// Searches that wait for the read under way.
    waiting: Vec<OriginAsk>,
}

impl OriginStore {
    /// Keeps an origin until it is stored or of no use any more.
    pub fn add_unsaved(
        &mut self,
        origin: StreamOrigin,
    ) {
        self.unsaved.push_back(origin);
        if self.unsaved.len() > MAX_UNSAVED {
            self.unsaved.pop_front();
        }
    }

    /// Takes back the origins of a write that failed.
    fn return_unsaved(
        &mut self,
        streams: Vec<(RowKey, Vec<StreamOrigin>)>,
    ) {
        let returned = streams.into_iter().flat_map(|(_, origins)| origins);
        let mut unsaved: Vec<StreamOrigin> = self.unsaved.drain(..).chain(returned).collect();
        unsaved.sort_by_key(|origin| origin.at);
        self.unsaved = unsaved.into();
    }

    /// Returns true if a read may start now.
    fn may_read(
        &self,
        now: Instant,
    ) -> bool {
        !self.is_reading && self.next_read.is_none_or(|at| now >= at)
    }
}

impl HostControl {
    /// Notes versions, and stores what has changed of them and of the origins of this host's streams.
    pub(super) fn tick_origin_rows(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.follow_list(now);
        if self.origins.store.next_note.is_none_or(|at| now >= at) {
            self.origins.store.next_note = Some(now + NOTE_INTERVAL);
            self.note_software(now);
        }
        let store = &mut self.origins.store;
        let is_old = |origin: &StreamOrigin| now.saturating_duration_since(origin.at) >= ORIGIN_TTL;
        while store.unsaved.front().is_some_and(is_old) {
            store.unsaved.pop_front();
        }
        let is_due = store.next_write.is_none_or(|at| now >= at);
        if !self.origins.software.is_followed() {
            return Vec::new();
        }
        if self.settings.first_start {
            self.origins.store.has_read = true;
        }
        if let Some(read) = self.read_missing_rows(now) {
            return vec![read];
        }
        if self.origins.store.pending.is_some() || !is_due {
            return Vec::new();
        }
        let mut writes = Vec::new();
        let versions = match self.hosts.link_rank() < VERSION_WRITERS {
            true => self.changed_versions(now),
            false => Vec::new(),
        };
        // What other hosts have stored must not be overwritten by less.
        if !versions.is_empty() && !self.origins.store.has_read {
            return self.read_origin_rows(now).into_iter().collect();
        }
        writes.extend(self.version_writes(&versions));
        let streams = self.unsaved_streams();
        writes.extend(
            streams
                .iter()
                .map(|(row, origins)| streams_write(row.clone(), origins, now)),
        );
        let expired = self.expired_rows(now);
        writes.extend(expired.iter().cloned().map(delete_write));
        if writes.is_empty() {
            return Vec::new();
        }
        self.origins.store.pending = Some(PendingWrite {
            era: self.assignment.era(),
            versions,
            streams,
            deleted: expired.len(),
        });
        vec![ControlAction::WriteOrigins { writes }]
    }

    /// Returns the versions whose rows differ from what is known; without a value a row is to be deleted.
    fn changed_versions(
        &self,
        now: Instant,
    ) -> Vec<((String, SoftwareId), Option<bool>)> {
        let (history, stored) = (&self.origins.software, &self.origins.store.versions);
        let mut changed = Vec::new();
        for (service, software) in history.iter() {
            let key = (service.to_string(), software);
            let is_complete = history.is_complete(service, now);
            let known = stored.get(&key).copied();
            if known.is_none() && !self.may_introduce(&key, now) {
                continue;
            }
            if known.is_none_or(|known| is_complete && !known) {
                changed.push((key, Some(is_complete)));
            }
        }
        for (service, software) in stored.keys() {
            if !history.versions(service).contains(software) {
                changed.push(((service.clone(), *software), None));
            }
        }
        changed.truncate(MAX_WRITES);
        changed
    }

    fn version_writes(
        &self,
        changed: &[((String, SoftwareId), Option<bool>)],
    ) -> Vec<RowWrite> {
        let era = self.assignment.era();
        let write = |((service, software), is_complete): &((String, SoftwareId), Option<bool>)| {
            match is_complete {
                Some(is_complete) => version_write(&VersionRow {
                    service: service.clone(),
                    software: software.to_bits(),
                    era,
                    is_complete: *is_complete,
                }),
                None => delete_write(version_key(service, *software)),
            }
        };
        changed.iter().map(write).collect()
    }

    /// Takes the origins that are stored next, those of the latest streams first, as the others are likely over. With one version
    /// alone it is enough to know that.
    fn unsaved_streams(&mut self) -> Vec<(RowKey, Vec<StreamOrigin>)> {
        if !self.origins.software.has_several_versions() {
            return Vec::new();
        }
        let process = self.hosts.me().process;
        let store = &mut self.origins.store;
        let mut rows = Vec::new();
        while !store.unsaved.is_empty() && rows.len() < MAX_STREAM_ROWS {
            let left = store.unsaved.len().saturating_sub(MAX_ORIGINS_PER_ROW);
            let origins = store.unsaved.drain(left..).collect();
            rows.push((streams_key(process, store.next_row), origins));
            store.next_row += 1;
        }
        rows
    }

    /// Returns the rows of streams that are of no use any more.
    fn expired_rows(
        &self,
        now: Instant,
    ) -> Vec<RowKey> {
        let rows = self.origins.store.stream_rows.iter();
        let expired = rows.take_while(|(_, expires_at)| now >= *expires_at);
        expired
            .map(|(row, _)| row.clone())
            .take(MAX_WRITES)
            .collect()
    }

    /// Handles the end of a write; `None` if its outcome is unknown.
    pub(super) fn on_origins_written(
        &mut self,
        commit: Option<Commit>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let (commit, mut actions) = self.observe_commit(commit, now);
        let (era, interval) = (self.assignment.era(), self.origin_write_interval());
        let store = &mut self.origins.store;
        let Some(pending) = store.pending.take() else {
            return actions;
        };
        let is_done = matches!(commit, Some(Commit::Done { .. })) && pending.era == era;
        if !is_done {
            note!(
                Event::OriginStoreFailed,
                call = "write",
                versions = pending.versions.len(),
                streams = pending.stream_count(),
            );
            store.next_write = Some(now + RETRY_DELAY);
            store.return_unsaved(pending.streams);
            return actions;
        }
        store.next_write = Some(now + interval);
        note!(
            Event::OriginsStored,
            versions = pending.versions.len(),
            streams = pending.stream_count(),
            deleted_rows = pending.deleted,
        );
        let announced = pending.versions.clone();
        for (key, is_complete) in pending.versions {
            match is_complete {
                Some(is_complete) => store.versions.insert(key, is_complete),
                None => store.versions.remove(&key),
            };
        }
        store.stream_rows.drain(..pending.deleted);
        for (row, _) in pending.streams {
            store.stream_rows.push_back((row, now + ORIGIN_TTL));
        }
        actions.extend(self.announce_stored(&announced));
        actions
    }

    /// Returns the interval at which this host writes: all hosts write to one table, which takes so many writes a second.
    pub(super) fn origin_write_interval(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.known_count()).unwrap_or(u32::MAX);
        WRITE_INTERVAL + WRITE_INTERVAL_PER_HOST * hosts
    }

    /// Starts a read for a search, whose answer it becomes; returns `None` if this host knows all that the store does.
    pub(super) fn ask_store(
        &mut self,
        ask: &OriginAsk,
        now: Instant,
    ) -> Option<Vec<ControlAction>> {
        if self.knows_all_versions(&ask.service, now) {
            return None;
        }
        let read = self.read_origin_rows(now);
        let store = &mut self.origins.store;
        if !store.is_reading || store.waiting.len() >= MAX_WAITING {
            return None;
        }
        store.waiting.push(ask.clone());
        Some(read.into_iter().collect())
    }

    pub(super) fn read_origin_rows(
        &mut self,
        now: Instant,
    ) -> Option<ControlAction> {
        let store = &mut self.origins.store;
        if !store.may_read(now) {
            return None;
        }
        store.is_reading = true;
        Some(ControlAction::ReadOrigins)
    }

    /// Takes over the rows that the store has kept, and answers the searches that wait for them; `None` if the read failed.
    pub(super) fn on_origins_read(
        &mut self,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let waiting = std::mem::take(&mut self.origins.store.waiting);
        self.origins.store.is_reading = false;
        let Some(batch) = rows else {
            note!(
                Event::OriginStoreFailed,
                call = "read",
                searches = waiting.len()
            );
            self.origins.store.next_read = Some(now + RETRY_DELAY);
            return Vec::new();
        };
        self.origins.store.next_read = Some(now + READ_INTERVAL);
        let mut actions = self.observe_store(batch.version, now);
        self.origins.store.has_read = true;
        let (mut versions, mut streams) = (0, 0);
        self.changed = true;
        for row in &batch.rows {
            match parse(row) {
                Some(OriginRow::Version(row)) => {
                    versions += 1;
                    self.take_version_row(row, batch.version.era, now);
                }
                Some(OriginRow::Streams(records)) => {
                    streams += records.records.len();
                    self.take_streams_row(&row.key, &records, now);
                }
                None => {}
            }
        }
        note!(
            Event::OriginsRead,
            version = batch.version,
            versions = versions,
            streams = streams,
            searches = waiting.len(),
        );
        actions.extend(waiting.iter().map(|ask| {
            let is_complete = self.origins.software.is_complete(&ask.service, now);
            let finding = self.origin_finding(ask, is_complete, now);
            ControlAction::DeliverOrigin(OriginAnswer::of(ask, &finding))
        }));
        actions
    }

    /// Takes a stored version as listed until now: when its last target left is not known. Rows from before the store was
    /// restored may be too few.
    fn take_version_row(
        &mut self,
        row: VersionRow,
        era: u32,
        now: Instant,
    ) {
        let software = SoftwareId::from_bits(row.software);
        let is_complete = row.is_complete && row.era == era;
        let history = &mut self.origins.software;
        history.add(&row.service, software, now);
        if is_complete {
            history.set_known_before(&row.service);
        }
        let key = (row.service, software);
        self.origins.store.versions.insert(key, is_complete);
    }

    fn take_streams_row(
        &mut self,
        key: &str,
        records: &OriginRecords,
        now: Instant,
    ) {
        for record in &records.records {
            let key = StreamKey::from_bits(record.stream);
            if self.origins.records.get(key, now).is_none() {
                let software = SoftwareId::from_bits(record.software);
                self.keep_origin(
                    StreamOrigin {
                        key,
                        software,
                        at: now,
                    },
                    now,
                );
            }
        }
        if self.hosts.link_rank() >= VERSION_WRITERS {
            return;
        }
        let row = RowKey::new(ORIGIN_TABLE, key);
        let known = &mut self.origins.store.stream_rows;
        if !known.iter().any(|(known, _)| *known == row) {
            known.push_back((row, now + ORIGIN_TTL));
        }
    }

    /// Stores everything anew, as a restored store may have lost it.
    pub(super) fn restore_origin_rows(
        &mut self,
        now: Instant,
    ) {
        let origins: Vec<StreamOrigin> = self.origins.records.latest(now).copied().collect();
        let store = &mut self.origins.store;
        store.versions.clear();
        store.unsaved = origins.into_iter().take(MAX_UNSAVED).rev().collect();
    }

    /// Notes whether this host's copy of the list of targets is up to date.
    pub(super) fn follow_list(
        &mut self,
        now: Instant,
    ) {
        let staleness = self.listed.replica.staleness(now);
        let is_current = staleness.is_some_and(|staleness| staleness < MAX_LIST_AGE);
        self.origins.software.follow(is_current, now);
    }
}

/// Returns what a row says; `None` if it can't be read.
fn parse(row: &Row) -> Option<OriginRow> {
    let parsed = OriginRow::parse(&row.key, row.value.as_deref()?);
    parsed
        .inspect_err(|problem| {
            note!(
                Event::RowUnreadable,
                table = ORIGIN_TABLE,
                row = quoted(&row.key),
                problem = quoted(problem)
            );
        })
        .ok()
}

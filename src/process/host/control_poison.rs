//! Control-thread handling of poison requests (requests that crash targets): merges reports of this host's requests, of
//! other hosts and of the store, and distributes the changes.

use {
    super::{
        ControlAction, HostControl,
        control_tables::quoted,
        poison_rows::{POISON_TABLE, delete_write, parse_row, store_write},
    },
    crate::{
        clock::Instant,
        connection::datagram::{Message, PoisonEntry, PoisonNews, PoisonStrike},
        formats::RowBatch,
        metrics::{StateLabels, metrics},
        note,
        request::poison::{
            CrashEvidence, Fingerprint, IncarnationId, PoisonLedger, PoisonReport, PoisonStatus,
            PoisonUpdate,
        },
        timeline::Event,
    },
    rand::RngExt,
    std::{net::SocketAddr, time::Duration},
};

/// Maximum number of records in one datagram; a record takes up to 0.4 kB, and a datagram must fit into a packet.
const RECORDS_PER_DATAGRAM: usize = 3;

/// Maximum number of datagrams sent to a host whose digest differs.
const MAX_DATAGRAMS_PER_EXCHANGE: usize = 10;

/// Minimum time from start to the first read of the store; skipped if another host has sent its records by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);

/// Jitter of the first read for each known host: of hosts that start together, most get the records from another host
/// first.
const FIRST_READ_JITTER_PER_HOST: Duration = Duration::from_millis(9);

/// Delay before a failed read of the store is retried.
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time between two evictions of expired records.
const EVICTION_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum number of crashes for which a request is stored; with fewer, losing the record costs at most one target.
const MIN_STORED_CRASHES: usize = 2;

/// Number of hosts that write the records again after a restoration of the store: more than one, as one may be cut off.
const RESTORING_HOSTS: usize = 3;

/// Poison records known to this host, and the state of their synchronization.
#[derive(Debug, Default)]
pub(super) struct PoisonState {
    pub ledger: PoisonLedger,
    /// True once the records of the store or of a synchronized host have been merged.
    pub is_synchronized: bool,
    next_read: Option<Instant>,
    next_eviction: Option<Instant>,
    /// The last record sent to a host whose digest differed; the next page starts after it.
    last_sent: Option<Fingerprint>,
}

impl HostControl {
    /// Returns the digest of the known records; `None` until they have been synchronized.
    pub(super) fn poison_digest(&self) -> Option<u64> {
        self.poison
            .is_synchronized
            .then(|| self.poison.ledger.digest())
    }

    /// Handles a report from this host's requests or from an operator.
    pub fn on_poison_report(
        &mut self,
        report: PoisonReport,
        now: Instant,
    ) -> Vec<ControlAction> {
        let changed = match report {
            PoisonReport::Crashed { evidence } => self.record_crashes(&evidence, now),
            PoisonReport::Cleared { fingerprint } => match self.poison.ledger.clear(&fingerprint) {
                true => vec![fingerprint],
                false => Vec::new(),
            },
        };
        let mut actions = self.broadcast_poison(&changed, now);
        actions.extend(self.store_records(&changed, now));
        actions.extend(self.publish_statuses(&changed, "here"));
        actions
    }

    fn record_crashes(
        &mut self,
        evidence: &[(Fingerprint, CrashEvidence)],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for (fingerprint, evidence) in evidence {
            let update = PoisonUpdate {
                fingerprint: *fingerprint,
                strikes: vec![*evidence],
                cleared: Vec::new(),
                age: Duration::ZERO,
            };
            if self.poison.ledger.merge(&update, now) {
                changed.push(*fingerprint);
            }
        }
        changed
    }

    /// Merges the records sent by another host.
    pub(super) fn on_poison_update(
        &mut self,
        update: &PoisonNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        let updates = update.entries.iter().filter_map(update_from_wire);
        let updates: Vec<PoisonUpdate> = updates.collect();
        let changed = self.merge_poison(&updates, now);
        self.publish_statuses(&changed, "host")
    }

    fn merge_poison(
        &mut self,
        updates: &[PoisonUpdate],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for update in updates {
            if self.poison.ledger.merge(update, now) {
                changed.push(update.fingerprint);
            }
        }
        changed
    }

    /// Sends a page of records to a host whose digest differs from this host's.
    pub(super) fn on_poison_digest(
        &mut self,
        from: SocketAddr,
        digest: Option<u64>,
        now: Instant,
    ) -> Vec<ControlAction> {
        // A synchronized host sends its records in turn when it sees this host's digest.
        self.poison.is_synchronized |= digest.is_some();
        if digest == Some(self.poison.ledger.digest()) || self.poison.ledger.is_empty() {
            return Vec::new();
        }
        let updates = self.poison.ledger.page(
            self.poison.last_sent,
            RECORDS_PER_DATAGRAM * MAX_DATAGRAMS_PER_EXCHANGE,
            now,
        );
        self.poison.last_sent = updates.last().map(|update| update.fingerprint);
        let messages = updates.chunks(RECORDS_PER_DATAGRAM).map(to_message);
        let send = |message| ControlAction::Send { to: from, message };
        messages.map(send).collect()
    }

    /// Sends changed records to all hosts at once: spread by digests alone, they could cost a target at each hop.
    fn broadcast_poison(
        &mut self,
        changed: &[Fingerprint],
        now: Instant,
    ) -> Vec<ControlAction> {
        if changed.is_empty() {
            return Vec::new();
        }
        let ledger = &self.poison.ledger;
        let updates = changed.iter().filter_map(|fingerprint| {
            let record = ledger.get(fingerprint)?;
            Some(record.to_update(*fingerprint, now))
        });
        let updates: Vec<PoisonUpdate> = updates.collect();
        let mut actions = Vec::new();
        for to in self.hosts.pick_reachable(usize::MAX) {
            let messages = updates.chunks(RECORDS_PER_DATAGRAM).map(to_message);
            actions.extend(messages.map(|message| ControlAction::Send { to, message }));
        }
        actions
    }

    /// Stores the records that must survive the loss of all hosts.
    fn store_records(
        &self,
        changed: &[Fingerprint],
        now: Instant,
    ) -> Option<ControlAction> {
        let writes = changed.iter().filter_map(|fingerprint| {
            let record = self.poison.ledger.get(fingerprint)?;
            let update = record.to_update(*fingerprint, now);
            let must_store =
                record.crash_count() >= MIN_STORED_CRASHES || !update.cleared.is_empty();
            must_store.then(|| store_write(&update))
        });
        let writes: Vec<_> = writes.collect();
        (!writes.is_empty()).then_some(ControlAction::WritePoison { writes })
    }

    /// Stores all records that must survive, as a restored store may have lost them. A few hosts do so, as all know the same.
    pub(super) fn store_all_records(
        &self,
        now: Instant,
    ) -> Option<ControlAction> {
        if self.hosts.link_rank() >= RESTORING_HOSTS {
            return None;
        }
        let updates = self.poison.ledger.page(None, usize::MAX, now);
        let fingerprints: Vec<Fingerprint> =
            updates.iter().map(|update| update.fingerprint).collect();
        self.store_records(&fingerprints, now)
    }

    /// Evicts expired records and triggers the first read of the store when due.
    pub(super) fn tick_poison(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if self.poison.next_eviction.is_none_or(|at| now >= at) {
            self.poison.next_eviction = Some(now + EVICTION_INTERVAL);
            let evicted = self.poison.ledger.evict_expired(now);
            actions.extend(self.publish_statuses(&evicted, "age"));
        }
        if self.poison.is_synchronized {
            return actions;
        }
        if self.settings.first_start {
            // The store is still empty.
            self.poison.is_synchronized = true;
            return actions;
        }
        // The jitter depends on the number of hosts, which discovery has to find first.
        if now < self.started + FIRST_READ_DELAY {
            return actions;
        }
        let due = match self.poison.next_read {
            Some(due) => due,
            None => self.started + FIRST_READ_DELAY + self.read_jitter(),
        };
        self.poison.next_read = Some(due);
        if now >= due {
            self.poison.next_read = Some(now + READ_RETRY_DELAY);
            actions.push(ControlAction::ReadPoison);
        }
        actions
    }

    /// Returns a random delay whose maximum grows with the number of known hosts.
    fn read_jitter(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.known_count()).unwrap_or(u32::MAX);
        rand::rng().random_range(Duration::ZERO..FIRST_READ_JITTER_PER_HOST * hosts.max(1))
    }

    /// Merges the rows read from the store; `None` if the read failed.
    pub(super) fn on_poison_read(
        &mut self,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let Some(batch) = rows else {
            return Vec::new();
        };
        let mut actions = self.observe_store(batch.version, now);
        self.poison.is_synchronized = true;
        let mut updates = Vec::new();
        let mut deletions = Vec::new();
        for row in &batch.rows {
            match row.value.as_deref().map(parse_row) {
                Some(Ok(update)) => updates.push(update),
                Some(Err(error)) => {
                    note!(
                        Event::RowUnreadable,
                        table = POISON_TABLE,
                        row = quoted(&row.key),
                        problem = quoted(&error)
                    );
                }
                None => {}
            }
        }
        let changed = self.merge_poison(&updates, now);
        for update in &updates {
            if self.poison.ledger.get(&update.fingerprint).is_none() {
                deletions.push(delete_write(&update.fingerprint));
            }
        }
        actions.extend(self.publish_statuses(&changed, "store"));
        if !deletions.is_empty() {
            actions.push(ControlAction::WritePoison { writes: deletions });
        }
        actions
    }

    /// Logs the current status of changed requests and publishes it to this host's traffic thread.
    fn publish_statuses(
        &self,
        changed: &[Fingerprint],
        source: &str,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for fingerprint in changed {
            let status = self.poison.ledger.status(fingerprint);
            let record = self.poison.ledger.get(fingerprint);
            note!(
                Event::PoisonStanding,
                fingerprint = fingerprint,
                standing = PoisonStatus::word(status),
                targets_ended = record.map_or(0, |record| record.crash_count()),
                source = source,
            );
            actions.push(ControlAction::SetPoisonStatus {
                fingerprint: *fingerprint,
                standing: status,
            });
        }
        if !changed.is_empty() {
            self.set_poison_gauges();
        }
        actions
    }

    fn set_poison_gauges(&self) {
        for status in [PoisonStatus::Suspected, PoisonStatus::Rejected] {
            let labels = StateLabels {
                state: PoisonStatus::word(Some(status)),
            };
            let count = self.poison.ledger.count(status);
            let gauge = metrics().poison.get_or_create(&labels).clone();
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

fn to_message(updates: &[PoisonUpdate]) -> Message {
    let entries = updates.iter().map(|update| PoisonEntry {
        fingerprint: update.fingerprint.as_bytes().to_vec(),
        strikes: update.strikes.iter().map(evidence_to_wire).collect(),
        cleared: update.cleared.iter().map(|end| end.number()).collect(),
        age_s: u32::try_from(update.age.as_secs()).unwrap_or(u32::MAX),
    });
    Message::PoisonNews(PoisonNews {
        entries: entries.collect(),
    })
}

fn evidence_to_wire(evidence: &CrashEvidence) -> PoisonStrike {
    PoisonStrike {
        end: evidence.end.number(),
        alone: evidence.alone,
        begun: evidence.begun,
    }
}

/// Converts an entry from its wire format; `None` if its fingerprint is invalid.
fn update_from_wire(entry: &PoisonEntry) -> Option<PoisonUpdate> {
    let evidence_from_wire = |evidence: &PoisonStrike| CrashEvidence {
        end: IncarnationId::from_number(evidence.end),
        alone: evidence.alone,
        begun: evidence.begun,
    };
    Some(PoisonUpdate {
        fingerprint: Fingerprint::from_bytes(&entry.fingerprint)?,
        strikes: entry.strikes.iter().map(evidence_from_wire).collect(),
        cleared: entry
            .cleared
            .iter()
            .copied()
            .map(IncarnationId::from_number)
            .collect(),
        age: Duration::from_secs(u64::from(entry.age_s)),
    })
}

//! Control-thread handling of poison (requests, and parts of prompts, that crash targets): merges reports of this host's
//! requests, of other hosts and of the store, and distributes the changes.

use {
    super::{
        ControlAction, HostControl,
        poison_messages::{to_messages, update_from_wire},
        poison_rows::{POISON_TABLE, delete_write, parse_row, store_write},
    },
    crate::{
        clock::Instant,
        connection::datagram::{Message, PoisonNews},
        formats::RowBatch,
        metrics::{StateLabels, metrics},
        note,
        request::poison::{
            Accusation, IncarnationId, PoisonKey, PoisonLedger, PoisonReport, PoisonStatus,
            PoisonUpdate, PoisonVerdict,
        },
        timeline::{Event, quoted},
    },
    rand::RngExt,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Number of records sent to a host whose digest differs, and maximum number of rejected parts that go before them.
const RECORDS_PER_EXCHANGE: usize = 30;
const FIRST_RECORDS: usize = 8;

/// Number of hosts that are told of a survivor at once; digests spread it further. It is less urgent than a crash, and many
/// hosts may see one at the same time.
const HOSTS_TOLD_OF_SURVIVOR: usize = 16;

/// Minimum time from start to the first read of the store; skipped if another host has sent its records by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);

/// Jitter of the first read for each known host: of hosts that start together, most get the records from another host
/// first.
const FIRST_READ_JITTER_PER_HOST: Duration = Duration::from_millis(9);

/// Delay before a failed read of the store is retried.
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time between two evictions of expired records.
const EVICTION_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum number of crashes for which a record is stored; with fewer, losing the record costs at most one target.
const MIN_STORED_CRASHES: usize = 2;

/// The same for a part, by its score: parts in wide use have survivors, and need not be stored.
const MIN_STORED_SCORE: f64 = 1.5;

/// Maximum number of keys that the line of a verdict lists.
const MAX_LOGGED_KEYS: usize = 8;

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
    last_sent: Option<PoisonKey>,
    /// What was last published of rejected parts.
    rejected_parts: BTreeMap<PoisonKey, PoisonVerdict>,
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
            PoisonReport::Crashed { accused } => self.record_crashes(&accused, now),
            PoisonReport::Cleared { key } => match self.poison.ledger.clear(&key) {
                true => vec![key],
                false => Vec::new(),
            },
            PoisonReport::Survived { parts, incarnation } => {
                return self.record_survivor(&parts, incarnation, now);
            }
        };
        let mut actions = self.send_poison(&changed, usize::MAX, now);
        actions.extend(self.store_records(&changed, now));
        actions.extend(self.publish_verdicts(&changed, "here"));
        actions
    }

    fn record_crashes(
        &mut self,
        accused: &[Accusation],
        now: Instant,
    ) -> Vec<PoisonKey> {
        let mut changed = Vec::new();
        for accusation in accused {
            let update = PoisonUpdate {
                key: accusation.key,
                strikes: vec![accusation.evidence],
                cleared: Vec::new(),
                survivors: accusation.survivors.clone(),
                age: Duration::ZERO,
            };
            if self.poison.ledger.merge(&update, now) {
                changed.push(accusation.key);
            }
        }
        changed
    }

    /// Records that an incarnation survived answers with these parts.
    fn record_survivor(
        &mut self,
        parts: &[PoisonKey],
        incarnation: IncarnationId,
        now: Instant,
    ) -> Vec<ControlAction> {
        let ledger = &mut self.poison.ledger;
        let is_new = |part: &&PoisonKey| ledger.add_survivor(part, incarnation);
        let changed: Vec<PoisonKey> = parts.iter().filter(is_new).copied().collect();
        let mut actions = self.send_poison(&changed, HOSTS_TOLD_OF_SURVIVOR, now);
        actions.extend(self.publish_verdicts(&changed, "here"));
        actions
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
        self.publish_verdicts(&changed, "host")
    }

    fn merge_poison(
        &mut self,
        updates: &[PoisonUpdate],
        now: Instant,
    ) -> Vec<PoisonKey> {
        let mut changed = Vec::new();
        for update in updates {
            if self.poison.ledger.merge(update, now) {
                changed.push(update.key);
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
        let ledger = &self.poison.ledger;
        let page = ledger.page(self.poison.last_sent, RECORDS_PER_EXCHANGE, now);
        // A host that has just started must know these before it sends.
        let rejected = self.poison.rejected_parts.keys();
        let rejected = rejected.take(FIRST_RECORDS);
        let mut updates: Vec<PoisonUpdate> =
            rejected.filter_map(|key| ledger.update(key, now)).collect();
        self.poison.last_sent = page.last().map(|update| update.key);
        updates.extend(page);
        let send = |message| ControlAction::Send { to: from, message };
        to_messages(&updates).into_iter().map(send).collect()
    }

    /// Sends changed records to hosts at once: spread by digests alone, they could cost a target at each hop.
    fn send_poison(
        &mut self,
        changed: &[PoisonKey],
        hosts: usize,
        now: Instant,
    ) -> Vec<ControlAction> {
        if changed.is_empty() {
            return Vec::new();
        }
        let ledger = &self.poison.ledger;
        let updates = changed.iter().filter_map(|key| ledger.update(key, now));
        let updates: Vec<PoisonUpdate> = updates.collect();
        let messages = to_messages(&updates);
        let mut actions = Vec::new();
        for to in self.hosts.pick_reachable(hosts) {
            let send = |message: &Message| ControlAction::Send {
                to,
                message: message.clone(),
            };
            actions.extend(messages.iter().map(send));
        }
        actions
    }

    /// Stores the records that must survive the loss of all hosts.
    fn store_records(
        &self,
        changed: &[PoisonKey],
        now: Instant,
    ) -> Option<ControlAction> {
        let ledger = &self.poison.ledger;
        let writes = changed.iter().filter_map(|key| {
            let update = ledger.update(key, now)?;
            let must_store = match key.is_part() {
                true => ledger.score(key) >= MIN_STORED_SCORE,
                false => update.strikes.len() >= MIN_STORED_CRASHES,
            };
            (must_store || !update.cleared.is_empty()).then(|| store_write(&update))
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
        let keys: Vec<PoisonKey> = updates.iter().map(|update| update.key).collect();
        self.store_records(&keys, now)
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
            actions.extend(self.publish_verdicts(&evicted, "age"));
        }
        if self.poison.ledger.settle(now) {
            let changed = self.update_rejected_parts();
            actions.extend(self.publish_verdicts(&changed, "time"));
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
            if self.poison.ledger.get(&update.key).is_none() {
                deletions.push(delete_write(&update.key));
            }
        }
        actions.extend(self.publish_verdicts(&changed, "store"));
        if !deletions.is_empty() {
            actions.push(ControlAction::WritePoison { writes: deletions });
        }
        actions
    }

    /// Publishes the verdicts on changed keys, and those on parts that follow from them, to this host's traffic thread.
    fn publish_verdicts(
        &mut self,
        changed: &[PoisonKey],
        source: &str,
    ) -> Vec<ControlAction> {
        if changed.is_empty() {
            return Vec::new();
        }
        let mut keys = changed.to_vec();
        keys.extend(self.update_rejected_parts());
        keys.sort();
        keys.dedup();
        self.set_poison_gauges();
        let publish = |key: PoisonKey| {
            let verdict = self.poison.ledger.verdict(&key);
            self.log_verdict(&key, verdict.as_ref(), source);
            ControlAction::SetPoisonVerdict { key, verdict }
        };
        keys.into_iter().map(publish).collect()
    }

    /// Computes the verdicts on rejected parts anew; returns those parts whose verdict has changed.
    fn update_rejected_parts(&mut self) -> Vec<PoisonKey> {
        let ledger = &self.poison.ledger;
        let verdict = |key: PoisonKey| Some((key, ledger.verdict(&key)?));
        let rejected: BTreeMap<PoisonKey, PoisonVerdict> =
            ledger.rejected_parts().filter_map(verdict).collect();
        let before = std::mem::replace(&mut self.poison.rejected_parts, rejected);
        let now = &self.poison.rejected_parts;
        let keys = before.keys().chain(now.keys());
        let has_changed = |key: &&PoisonKey| before.get(key) != now.get(key);
        keys.filter(has_changed).copied().collect()
    }

    fn log_verdict(
        &self,
        key: &PoisonKey,
        verdict: Option<&PoisonVerdict>,
        source: &str,
    ) {
        let record = self.poison.ledger.get(key);
        note!(
            Event::PoisonStanding,
            fingerprint = key,
            standing = PoisonStatus::word(verdict.map(|verdict| verdict.status)),
            targets_ended = record.map_or(0, |record| record.crash_count()),
            targets_survived = record.map_or(0, |record| record.survivor_count()),
            score = format!("{:.2}", self.poison.ledger.score(key)),
            only_with = key_list(verdict.map_or(&[], |verdict| &verdict.only_with)),
            source = source,
        );
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

/// Returns the first keys for logs.
fn key_list(keys: &[PoisonKey]) -> String {
    if keys.is_empty() {
        return "-".to_string();
    }
    let texts = keys.iter().take(MAX_LOGGED_KEYS).map(PoisonKey::to_string);
    texts.collect::<Vec<String>>().join(",")
}

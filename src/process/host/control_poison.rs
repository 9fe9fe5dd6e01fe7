//! Control-thread handling of poison requests (requests that crash targets): merges reports of this host's requests, of
//! other hosts and of the store, and distributes the changes.

use {
    super::{
        ControlAction, HostControl,
        control_tables::quoted,
        poison_rows::{POISON_TABLE, poison_of, removal_of, row_of},
    },
    crate::{
        clock::Instant,
        connection::datagram::{Message, PoisonEntry, PoisonNews, PoisonStrike},
        formats::RowBatch,
        metrics::{StateLabels, metrics},
        note,
        request::poison::{
            CrashEvidence, CrashId, Fingerprint, PoisonLedger, PoisonReport, PoisonStatus,
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

/// Poison records known to this host, and the state of their synchronization.
#[derive(Debug, Default)]
pub(super) struct PoisonState {
    pub ledger: PoisonLedger,
    /// True once the records of the store or of a synchronized host have been merged.
    pub is_synchronized: bool,
    next_read: Option<Instant>,
    next_eviction: Option<Instant>,
    /// The last record sent to a host whose digest differed; the next page starts after it.
    told: Option<Fingerprint>,
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
            PoisonReport::Crashed { evidence } => self.strike(&evidence, now),
            PoisonReport::Cleared { fingerprint } => match self.poison.ledger.clear(&fingerprint) {
                true => vec![fingerprint],
                false => Vec::new(),
            },
        };
        let mut actions = self.tell_all_poison(&changed, now);
        actions.extend(self.keep(&changed, now));
        actions.extend(self.note_standings(&changed, "here"));
        actions
    }

    fn strike(
        &mut self,
        strikes: &[(Fingerprint, CrashEvidence)],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for (fingerprint, strike) in strikes {
            let told = PoisonUpdate {
                fingerprint: *fingerprint,
                strikes: vec![*strike],
                cleared: Vec::new(),
                age: Duration::ZERO,
            };
            if self.poison.ledger.merge(&told, now) {
                changed.push(*fingerprint);
            }
        }
        changed
    }

    /// Merges the records sent by another host.
    pub(super) fn on_poison_news(
        &mut self,
        news: &PoisonNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        let told = news.entries.iter().filter_map(told_of);
        let told: Vec<PoisonUpdate> = told.collect();
        let changed = self.join_poison(&told, now);
        self.note_standings(&changed, "host")
    }

    fn join_poison(
        &mut self,
        told: &[PoisonUpdate],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for told in told {
            if self.poison.ledger.merge(told, now) {
                changed.push(told.fingerprint);
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
        let page = self.poison.ledger.page(
            self.poison.told,
            RECORDS_PER_DATAGRAM * MAX_DATAGRAMS_PER_EXCHANGE,
            now,
        );
        self.poison.told = page.last().map(|told| told.fingerprint);
        let news = page.chunks(RECORDS_PER_DATAGRAM).map(news_of);
        let send = |message| ControlAction::Send { to: from, message };
        news.map(send).collect()
    }

    /// Sends changed records to all hosts at once: spread by digests alone, they could cost a target at each hop.
    fn tell_all_poison(
        &mut self,
        changed: &[Fingerprint],
        now: Instant,
    ) -> Vec<ControlAction> {
        if changed.is_empty() {
            return Vec::new();
        }
        let ledger = &self.poison.ledger;
        let told = changed.iter().filter_map(|fingerprint| {
            let record = ledger.get(fingerprint)?;
            Some(record.to_update(*fingerprint, now))
        });
        let told: Vec<PoisonUpdate> = told.collect();
        let mut actions = Vec::new();
        for to in self.hosts.pick_up(usize::MAX) {
            let news = told.chunks(RECORDS_PER_DATAGRAM).map(news_of);
            actions.extend(news.map(|message| ControlAction::Send { to, message }));
        }
        actions
    }

    /// Stores the records that must survive the loss of all hosts.
    fn keep(
        &self,
        changed: &[Fingerprint],
        now: Instant,
    ) -> Option<ControlAction> {
        let kept = changed.iter().filter_map(|fingerprint| {
            let record = self.poison.ledger.get(fingerprint)?;
            let told = record.to_update(*fingerprint, now);
            let matters = record.crash_count() >= MIN_STORED_CRASHES || !told.cleared.is_empty();
            matters.then(|| row_of(&told))
        });
        let writes: Vec<_> = kept.collect();
        (!writes.is_empty()).then_some(ControlAction::KeepPoison { writes })
    }

    /// Evicts expired records and triggers the first read of the store when due.
    pub(super) fn tick_poison(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if self.poison.next_eviction.is_none_or(|at| now >= at) {
            self.poison.next_eviction = Some(now + EVICTION_INTERVAL);
            let dropped = self.poison.ledger.evict_expired(now);
            actions.extend(self.note_standings(&dropped, "age"));
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
            None => self.started + FIRST_READ_DELAY + self.read_delay(),
        };
        self.poison.next_read = Some(due);
        if now >= due {
            self.poison.next_read = Some(now + READ_RETRY_DELAY);
            actions.push(ControlAction::ReadPoison);
        }
        actions
    }

    /// Returns a random delay whose maximum grows with the number of known hosts.
    fn read_delay(&self) -> Duration {
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
        self.poison.is_synchronized = true;
        let mut told = Vec::new();
        let mut old = Vec::new();
        for row in &batch.rows {
            match row.value.as_deref().map(poison_of) {
                Some(Ok(poison)) => told.push(poison),
                Some(Err(problem)) => {
                    note!(
                        Event::RowUnreadable,
                        table = POISON_TABLE,
                        row = quoted(&row.key),
                        problem = quoted(&problem)
                    );
                }
                None => {}
            }
        }
        let changed = self.join_poison(&told, now);
        for poison in &told {
            if self.poison.ledger.get(&poison.fingerprint).is_none() {
                old.push(removal_of(&poison.fingerprint));
            }
        }
        let mut actions = self.note_standings(&changed, "store");
        if !old.is_empty() {
            actions.push(ControlAction::KeepPoison { writes: old });
        }
        actions
    }

    /// Logs the current status of changed requests and publishes it to this host's traffic thread.
    fn note_standings(
        &self,
        changed: &[Fingerprint],
        source: &str,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for fingerprint in changed {
            let standing = self.poison.ledger.status(fingerprint);
            let record = self.poison.ledger.get(fingerprint);
            note!(
                Event::PoisonStanding,
                fingerprint = fingerprint,
                standing = PoisonStatus::word(standing),
                targets_ended = record.map_or(0, |record| record.crash_count()),
                source = source,
            );
            actions.push(ControlAction::Stands {
                fingerprint: *fingerprint,
                standing,
            });
        }
        if !changed.is_empty() {
            self.set_poison_gauges();
        }
        actions
    }

    fn set_poison_gauges(&self) {
        for standing in [PoisonStatus::Suspected, PoisonStatus::Rejected] {
            let labels = StateLabels {
                state: PoisonStatus::word(Some(standing)),
            };
            let count = self.poison.ledger.count(standing);
            let gauge = metrics().poison.get_or_create(&labels).clone();
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

fn news_of(told: &[PoisonUpdate]) -> Message {
    let entries = told.iter().map(|told| PoisonEntry {
        fingerprint: told.fingerprint.as_bytes().to_vec(),
        strikes: told.strikes.iter().map(strike_to_wire).collect(),
        cleared: told.cleared.iter().map(|end| end.number()).collect(),
        age_s: u32::try_from(told.age.as_secs()).unwrap_or(u32::MAX),
    });
    Message::PoisonNews(PoisonNews {
        entries: entries.collect(),
    })
}

fn strike_to_wire(strike: &CrashEvidence) -> PoisonStrike {
    PoisonStrike {
        end: strike.end.number(),
        alone: strike.alone,
        begun: strike.begun,
    }
}

/// Converts an entry from its wire format; `None` if its fingerprint is invalid.
fn told_of(entry: &PoisonEntry) -> Option<PoisonUpdate> {
    let strike = |strike: &PoisonStrike| CrashEvidence {
        end: CrashId::from_number(strike.end),
        alone: strike.alone,
        begun: strike.begun,
    };
    Some(PoisonUpdate {
        fingerprint: Fingerprint::from_bytes(&entry.fingerprint)?,
        strikes: entry.strikes.iter().map(strike).collect(),
        cleared: entry
            .cleared
            .iter()
            .copied()
            .map(CrashId::from_number)
            .collect(),
        age: Duration::from_secs(u64::from(entry.age_s)),
    })
}

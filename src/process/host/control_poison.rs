//! The control thread's part for requests that end targets: it joins what this host's requests, other hosts and the store
//! tell, and hands on what is news.

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

/// Records in one datagram: with 8 strikes and 32 cleared ends each, 0.4 kB, it stays below the size of a packet.
const PAGE: usize = 3;

/// Datagrams with records for a host that knows others than this one, at each exchange with it.
const PAGES: usize = 10;

/// A process reads what the store keeps so long after its start, unless another host has told it by then: the
/// seeds have answered by then.
const FIRST_READ: Duration = Duration::from_millis(300);

/// The first reads of hosts that start together are spread over this time for each host known, so that most hear from
/// another one first. 300 hosts take 2.7 s, less than the time within which they must know.
const READ_SPREAD: Duration = Duration::from_millis(9);

/// Pause before the store is asked again after a failed read.
const READ_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks for records that are old.
const DROP_PERIOD: Duration = Duration::from_secs(5);

/// A request is kept in the store from so many strikes on: with fewer, a loss of all hosts costs one target at most.
const KEPT_STRIKES: usize = 2;

/// What this host knows of requests that end targets, and how it came to it.
#[derive(Debug, Default)]
pub(super) struct KnownPoison {
    pub ledger: PoisonLedger,
    /// What the store or another host knows is known here, too.
    pub is_known: bool,
    next_read: Option<Instant>,
    next_drop: Option<Instant>,
    /// The last record told to a host that knows others.
    told: Option<Fingerprint>,
}

impl HostControl {
    /// What this host is known by to know, once it knows what others do.
    pub(super) fn poison_digest(&self) -> Option<u64> {
        self.poison.is_known.then(|| self.poison.ledger.digest())
    }

    /// A need of this host's own requests, or of an operator.
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

    /// Another host tells what it knows.
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

    /// Another host has told by a digest what it knows: it gets what this host knows if that differs.
    pub(super) fn on_poison_digest(
        &mut self,
        from: SocketAddr,
        digest: Option<u64>,
        now: Instant,
    ) -> Vec<ControlAction> {
        // Whoever knows all tells this host, too, as soon as it sees its digest.
        self.poison.is_known |= digest.is_some();
        if digest == Some(self.poison.ledger.digest()) || self.poison.ledger.is_empty() {
            return Vec::new();
        }
        let page = self.poison.ledger.page(self.poison.told, PAGE * PAGES, now);
        self.poison.told = page.last().map(|told| told.fingerprint);
        let news = page.chunks(PAGE).map(news_of);
        let send = |message| ControlAction::Send { to: from, message };
        news.map(send).collect()
    }

    /// Tells all hosts at once: news on the way by digests alone would cost a target for each step.
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
            let news = told.chunks(PAGE).map(news_of);
            actions.extend(news.map(|message| ControlAction::Send { to, message }));
        }
        actions
    }

    /// Keeps in the store what must outlive all hosts.
    fn keep(
        &self,
        changed: &[Fingerprint],
        now: Instant,
    ) -> Option<ControlAction> {
        let kept = changed.iter().filter_map(|fingerprint| {
            let record = self.poison.ledger.get(fingerprint)?;
            let told = record.to_update(*fingerprint, now);
            let matters = record.crash_count() >= KEPT_STRIKES || !told.cleared.is_empty();
            matters.then(|| row_of(&told))
        });
        let writes: Vec<_> = kept.collect();
        (!writes.is_empty()).then_some(ControlAction::WritePoison { writes })
    }

    /// Looks at what is due: the first read of the store, and records that are old.
    pub(super) fn tick_poison(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if self.poison.next_drop.is_none_or(|at| now >= at) {
            self.poison.next_drop = Some(now + DROP_PERIOD);
            let dropped = self.poison.ledger.evict_expired(now);
            actions.extend(self.note_standings(&dropped, "age"));
        }
        if self.poison.is_known {
            return actions;
        }
        if self.settings.first_start {
            // The store keeps nothing yet.
            self.poison.is_known = true;
            return actions;
        }
        // How many hosts there are becomes clear in the first moments.
        if now < self.started + FIRST_READ {
            return actions;
        }
        let due = match self.poison.next_read {
            Some(due) => due,
            None => self.started + FIRST_READ + self.read_delay(),
        };
        self.poison.next_read = Some(due);
        if now >= due {
            self.poison.next_read = Some(now + READ_PAUSE);
            actions.push(ControlAction::ReadPoison);
        }
        actions
    }

    /// Drawn by chance, the longer the more hosts there are.
    fn read_delay(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.known_count()).unwrap_or(u32::MAX);
        rand::rng().random_range(Duration::ZERO..READ_SPREAD * hosts.max(1))
    }

    /// The store's rows were read, or could not be.
    pub(super) fn on_poison_read(
        &mut self,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let Some(batch) = rows else {
            return Vec::new();
        };
        self.poison.is_known = true;
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
            actions.push(ControlAction::WritePoison { writes: old });
        }
        actions
    }

    /// Writes down how requests stand now, and tells this host's requests.
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
            actions.push(ControlAction::SetPoisonStatus {
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

/// What an entry tells; `None` if it names no request.
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

use {
    super::{
        HOLDING_TABLE, HolderRow, HostRow, TakenEngine, host_key,
        take_batch::{LapsedLease, MOST_ENGINES, TakeBatches, VacantEngine},
        turns::Turns,
    },
    crate::{
        clock::Instant,
        formats::{Expectation, Row, RowKey, RowWrite, Transaction},
        process::ownership::SessionLease,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Hosts that read the table anew after a lost reply do so within this time for each row that it has.
///
/// Of 300 hosts many lose replies at the same moment; the rows of 3,000 engines are half a MB, which
/// takes 0.2 s on a link of 20 Mbit/s, and the store as often as there are hosts.
const REREAD_SPREAD_PER_ROW: Duration = Duration::from_millis(1);

/// Times of leases and of changes of holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldingTimings {
    /// A lease holds for so long from the moment that its renewal was sent.
    pub lease: Duration,
    pub renew: Duration,
    /// Pause after a call that failed, within a half of it more or less: hosts that failed together do
    /// not come back together.
    pub retry: Duration,
    /// Orders of two holders of one engine must lie so far apart.
    pub gap: Duration,
    /// Room for an order that is held up between its check and its arrival.
    pub slack: Duration,
    /// An engine without a holder is left to the hosts before this one for so long each.
    pub turn: Duration,
    /// A transaction whose end was never learnt is tried anew after this time.
    pub pending: Duration,
}

impl HoldingTimings {
    /// Timings for a platform that wants orders of two holders `gap` apart.
    pub fn new(
        lease: Duration,
        renew: Duration,
        gap: Duration,
    ) -> Self {
        Self {
            lease,
            renew,
            retry: Duration::from_millis(600),
            gap,
            slack: Duration::from_millis(400),
            turn: Duration::from_millis(1500),
            pending: Duration::from_secs(2),
        }
    }

    /// Time from when a lease's version became known until its holder can't have acted for `gap`.
    fn lapse(&self) -> Duration {
        self.lease + self.gap + self.slack
    }
}

/// What membership knows of another host's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLease {
    pub version: u64,
    /// When this host first knew of the version.
    pub known_since: Instant,
}

/// An engine that this host gives orders to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldEngine {
    pub fence: u64,
    /// Term of the lease in which this was last confirmed.
    pub term: u64,
}

/// What holding wants done at the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldingAction {
    /// Commit a renewal of this host's lease.
    Renew { transaction: Transaction },
    /// Read the whole table of rows.
    ReadTable,
    /// Commit changes of engines' holders, all or none.
    Take {
        engines: Vec<TakenEngine>,
        transaction: Transaction,
    },
}

/// A holder row as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SeenHolder {
    version: u64,
    row: HolderRow,
}

/// Another host's lease as the store last told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SeenLease {
    version: u64,
    known_since: Instant,
}

/// Decides which engines this host takes, and whether it may give orders.
///
/// A lease counts from when its renewal was sent, on this host's steady clock. An engine of a lost
/// host is taken in one transaction that expects the lost host's lease row as it was a lease and a
/// gap ago: if that succeeds, the lost host has not renewed since, and its orders ended long before.
pub struct Holding {
    me: HostRow,
    timings: HoldingTimings,
    lease: SessionLease,
    /// Version of this host's row, once known; 0 if it is absent.
    row_version: Option<u64>,
    renewed_version: u64,
    renewing: bool,
    next_renewal: Instant,
    reading: bool,
    next_read: Instant,
    /// Term of the lease in which the table was last read.
    read_term: u64,
    holders: BTreeMap<String, SeenHolder>,
    leases: BTreeMap<SocketAddr, SeenLease>,
    held: BTreeMap<String, HeldEngine>,
    /// Engines that are not tried before these times.
    pending: BTreeMap<String, Instant>,
    /// Engines without a holder that acts, and since when.
    vacant: BTreeMap<String, Instant>,
    /// The table is read anew then: a reply about engines was lost.
    reread: Option<Instant>,
    /// Engines in one transaction at the most.
    batch_limit: usize,
    /// Engines whose rows differ from what is expected in a way that was not understood.
    conflicting: BTreeSet<String>,
    rng: StdRng,
}

impl Holding {
    pub fn new(
        me: HostRow,
        timings: HoldingTimings,
        now: Instant,
    ) -> Self {
        Self {
            rng: StdRng::seed_from_u64(me.process),
            me,
            lease: SessionLease::new(timings.lease),
            timings,
            row_version: None,
            renewed_version: 0,
            renewing: false,
            next_renewal: now,
            reading: false,
            next_read: now,
            read_term: 0,
            holders: BTreeMap::new(),
            leases: BTreeMap::new(),
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            vacant: BTreeMap::new(),
            reread: None,
            batch_limit: MOST_ENGINES,
            conflicting: BTreeSet::new(),
        }
    }

    /// This host's lease, to be looked at right before each order.
    pub fn lease(&self) -> &SessionLease {
        &self.lease
    }

    /// Version of this host's lease row when it was last renewed, 0 before the first time.
    pub fn lease_version(&self) -> u64 {
        self.renewed_version
    }

    /// Engines that this host gives orders to now.
    pub fn held(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&String, &HeldEngine)> {
        let term = self.lease.term();
        let holds = self.lease.is_valid(now);
        self.held
            .iter()
            .filter(move |(_, held)| holds && held.term == term)
    }

    /// The engine, if this host may give orders to it now.
    pub fn may_order(
        &self,
        target: &str,
        now: Instant,
    ) -> Option<HeldEngine> {
        let held = self.held.get(target)?;
        self.lease.is_valid_in(held.term, now).then_some(*held)
    }

    /// What should be done now.
    ///
    /// `engines` are the engines there are, with the key by which they are shared out; `takers` the
    /// hosts that take engines; `may_take` says that this host is likely to be one of them, while the
    /// hosts still get to know one another; `open` those of the engines to which no other host that answers says that
    /// it gives orders; `lease_of` what membership knows of another host's lease.
    pub fn decide(
        &mut self,
        engines: &BTreeMap<String, String>,
        takers: &[SocketAddr],
        may_take: bool,
        open: impl FnOnce() -> Arc<BTreeMap<String, String>>,
        lease_of: impl Fn(SocketAddr) -> Option<KnownLease>,
        now: Instant,
    ) -> Vec<HoldingAction> {
        let mut actions = Vec::new();
        self.held.retain(|target, _| engines.contains_key(target));
        self.vacant.retain(|target, _| engines.contains_key(target));
        self.pending.retain(|_, until| now < *until);
        let wanted = takers.contains(&self.me.peer) || self.is_named(engines);
        if !wanted && may_take && self.row_version.is_none() {
            // What it held before it started anew it goes on with, before hosts agree on the rest.
            actions.extend(self.read(now));
            return actions;
        }
        actions.extend(self.renew(wanted, now));
        if !self.lease.is_valid(now) {
            return actions;
        }
        if self.read_term != self.lease.term() {
            actions.extend(self.read(now));
            return actions;
        }
        if self.reread.is_some_and(|at| now >= at)
            && let Some(read) = self.read(now)
        {
            self.reread = None;
            actions.push(read);
        }
        let open = open();
        self.vacant.retain(|target, _| open.contains_key(target));
        self.conflicting.retain(|target| open.contains_key(target));
        let mut turns = Turns::new(self.me.peer, takers, self.timings.turn);
        let mut batches = TakeBatches::new(self.me.peer, self.batch_limit);
        let pending_until = now + self.timings.pending;
        for (target, key) in open.iter() {
            if self.pending.contains_key(target) {
                continue;
            }
            if let Some(vacant) = self.look_at(target, key, &mut turns, &lease_of, now) {
                self.pending.insert(target.clone(), pending_until);
                match self.conflicting.contains(target) {
                    true => batches.add_alone(vacant),
                    false => batches.add(vacant),
                }
            }
        }
        actions.extend(batches.finish());
        actions
    }

    /// A renewal that was sent at `sent` ended; `None` if it was not done, or if whether it was done is
    /// not known.
    pub fn on_renewed(
        &mut self,
        sent: Instant,
        version: Option<u64>,
        now: Instant,
    ) {
        self.renewing = false;
        match version {
            Some(version) => {
                self.row_version = Some(version);
                self.renewed_version = version;
                self.lease.record_renewal(sent, now);
                self.next_renewal = sent + self.timings.renew;
            }
            // If the row was written all the same, the next try finds it and expects that.
            None => self.next_renewal = now + self.retry_pause(),
        }
    }

    /// A renewal found another row than expected; the next try expects what is there.
    pub fn on_renewal_conflict(
        &mut self,
        rows: &[Row],
        now: Instant,
    ) {
        self.renewing = false;
        self.next_renewal = now;
        let key = host_key(self.me.peer);
        let found = rows.iter().find(|row| *row.key == key);
        self.row_version = Some(found.map_or(0, |row| row.version));
    }

    /// The table was read, or could not be; `None` then.
    pub fn on_table(
        &mut self,
        rows: Option<&[Row]>,
        term: u64,
        now: Instant,
    ) {
        self.reading = false;
        let Some(rows) = rows else {
            self.next_read = now + self.retry_pause();
            if self.row_version.is_some() && self.read_term == term {
                // It was read for the sake of a lost reply.
                self.reread = Some(self.next_read);
            }
            return;
        };
        let key = host_key(self.me.peer);
        if self.row_version.is_none() {
            let mine = rows.iter().find(|row| *row.key == key);
            self.row_version = Some(mine.map_or(0, |row| row.version));
        }
        for row in rows {
            self.see(row, now);
        }
        if term == self.lease.term() {
            self.read_term = term;
            self.confirm_held();
        }
    }

    /// These engines' holder was changed, in one transaction.
    pub fn on_taken(
        &mut self,
        engines: &[TakenEngine],
        version: u64,
        term: u64,
    ) {
        self.batch_limit = MOST_ENGINES;
        for TakenEngine { target, fence } in engines {
            self.pending.remove(target);
            let row = HolderRow {
                holder: self.me.peer,
                fence: *fence,
            };
            let seen = SeenHolder { version, row };
            self.holders.insert(target.clone(), seen);
            let held = HeldEngine {
                fence: *fence,
                term,
            };
            self.held.insert(target.clone(), held);
            self.vacant.remove(target);
            self.conflicting.remove(target);
        }
    }

    /// A change of these engines' holder found other rows than expected.
    ///
    /// The reply names all rows as they are: each that differs drops out of the next try, which follows at
    /// once, or is expected as it is now. A try fails again only if another host has written meanwhile.
    pub fn on_take_conflict(
        &mut self,
        engines: &[TakenEngine],
        rows: &[Row],
        now: Instant,
    ) {
        let mut learnt = false;
        for row in rows {
            learnt |= self.see(row, now);
        }
        match engines {
            [one] if !learnt => {
                // It stays pending, and is tried alone from now on: it must hold no other up.
                self.conflicting.insert(one.target.clone());
                self.batch_limit = MOST_ENGINES;
            }
            _ => {
                for TakenEngine { target, .. } in engines {
                    self.pending.remove(target);
                }
                self.batch_limit = match learnt {
                    true => MOST_ENGINES,
                    false => engines.len().div_ceil(2),
                };
            }
        }
        // An answer from before the lease lapsed tells nothing of what others have taken since.
        if self.read_term == self.lease.term() {
            self.confirm_held();
        }
    }

    /// Whether a change of these engines' holder was done is not known: they stay pending, and the
    /// table is read anew, by each host at another moment.
    pub fn on_take_lost(
        &mut self,
        now: Instant,
    ) {
        let rows = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let spread = REREAD_SPREAD_PER_ROW * rows;
        let at = now + self.rng.random_range(Duration::ZERO..=spread);
        self.reread.get_or_insert(at);
    }

    /// The store has turned a change of these engines' holder away: nothing was done, nothing is to be read.
    pub fn on_take_refused(
        &mut self,
        engines: &[TakenEngine],
        now: Instant,
    ) {
        let until = now + self.retry_pause();
        for TakenEngine { target, .. } in engines {
            self.pending.insert(target.clone(), until);
        }
    }

    /// The holder that the store last named.
    pub fn holder(
        &self,
        target: &str,
    ) -> Option<SocketAddr> {
        self.holders.get(target).map(|seen| seen.row.holder)
    }

    /// True if the store last named this host as the holder of one of the engines.
    fn is_named(
        &self,
        engines: &BTreeMap<String, String>,
    ) -> bool {
        self.holders
            .iter()
            .any(|(target, seen)| seen.row.holder == self.me.peer && engines.contains_key(target))
    }

    /// A host that gives no orders needs no lease, and spares the store.
    fn renew(
        &mut self,
        wanted: bool,
        now: Instant,
    ) -> Option<HoldingAction> {
        if !wanted || self.renewing || now < self.next_renewal {
            return None;
        }
        let Some(version) = self.row_version else {
            return self.read(now);
        };
        self.renewing = true;
        let row = RowKey::new(HOLDING_TABLE, &host_key(self.me.peer));
        let value = serde_json::to_vec(&self.me).expect("a host's row can be written");
        Some(HoldingAction::Renew {
            transaction: Transaction {
                expected: vec![Expectation {
                    row: row.clone(),
                    version,
                }],
                writes: vec![RowWrite {
                    row,
                    value: Some(value),
                }],
            },
        })
    }

    fn read(
        &mut self,
        now: Instant,
    ) -> Option<HoldingAction> {
        if self.reading || now < self.next_read {
            return None;
        }
        self.reading = true;
        Some(HoldingAction::ReadTable)
    }

    /// The pause before a call is tried again.
    fn retry_pause(&mut self) -> Duration {
        let retry = self.timings.retry;
        self.rng.random_range(retry / 2..=retry + retry / 2)
    }

    /// Takes a row in; true if it was not known so.
    fn see(
        &mut self,
        row: &Row,
        now: Instant,
    ) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        if let Some(peer) = HostRow::peer_of(&row.key) {
            let known = self.leases.get(&peer).map(|lease| lease.version);
            if known == Some(row.version) {
                return false;
            }
            let lease = SeenLease {
                version: row.version,
                known_since: now,
            };
            self.leases.insert(peer, lease);
            return true;
        }
        let Some(target) = HolderRow::target_of(&row.key) else {
            return false;
        };
        let old = self.holders.get(target).map_or(0, |seen| seen.version);
        if row.version < old {
            return false;
        }
        let Ok(holder) = serde_json::from_slice::<HolderRow>(value) else {
            return self.on_spoilt_row(target, row.version);
        };
        let seen = SeenHolder {
            version: row.version,
            row: holder,
        };
        self.holders.insert(target.to_string(), seen);
        row.version > old
    }

    /// Another writer spoilt an engine's row: the holder that it named goes on to count, so that the engine is taken
    /// once that one's lease has lapsed. Nobody knows whose lease to wait for if it was never read before.
    fn on_spoilt_row(
        &mut self,
        target: &str,
        version: u64,
    ) -> bool {
        let Some(seen) = self.holders.get_mut(target) else {
            return false;
        };
        let is_news = version > seen.version;
        seen.version = version;
        is_news
    }

    /// Holds what the rows give to this host, and nothing else.
    fn confirm_held(&mut self) {
        let term = self.lease.term();
        let mine = self
            .holders
            .iter()
            .filter(|(_, seen)| seen.row.holder == self.me.peer);
        self.held = mine
            .map(|(target, seen)| {
                let fence = seen.row.fence;
                (target.clone(), HeldEngine { fence, term })
            })
            .collect();
    }

    /// The engine, if this host may take it now.
    fn look_at(
        &mut self,
        target: &str,
        key: &str,
        turns: &mut Turns,
        lease_of: &impl Fn(SocketAddr) -> Option<KnownLease>,
        now: Instant,
    ) -> Option<VacantEngine> {
        let seen = self.holders.get(target);
        let holder = seen.map(|seen| seen.row.holder);
        if holder == Some(self.me.peer) {
            if !self.held.contains_key(target) {
                self.confirm_held();
            }
            return None;
        }
        // Versions of the store's rows only rise, also over the targets that follow one another at
        // one address.
        let fence = (seen.map_or(0, |seen| seen.row.fence) + 1).max(self.renewed_version);
        let version = seen.map_or(0, |seen| seen.version);
        let vacant_since = match self.vacant.get(target) {
            Some(since) => *since,
            None => {
                self.vacant.insert(target.to_string(), now);
                now
            }
        };
        if !turns.has_come(key, now.saturating_duration_since(vacant_since)) {
            return None;
        }
        let lapsed = match holder {
            Some(host) => Some(LapsedLease {
                host,
                version: self.lapsed_lease(host, lease_of(host), now)?,
            }),
            None => None,
        };
        let target = target.to_string();
        Some(VacantEngine {
            engine: TakenEngine { target, fence },
            version,
            lapsed,
        })
    }

    /// The version of a host's lease that has been known for long enough to have lapsed.
    fn lapsed_lease(
        &self,
        host: SocketAddr,
        membership: Option<KnownLease>,
        now: Instant,
    ) -> Option<u64> {
        let told = membership
            .filter(|lease| lease.version > 0)
            .map(|lease| (lease.version, lease.known_since));
        let read = self
            .leases
            .get(&host)
            .map(|lease| (lease.version, lease.known_since));
        // Of the newest version, what was known first.
        let newest = told
            .into_iter()
            .chain(read)
            .map(|(version, _)| version)
            .max()?;
        let since = told
            .into_iter()
            .chain(read)
            .filter(|(version, _)| *version == newest)
            .map(|(_, since)| since)
            .min()?;
        let lapsed = now.saturating_duration_since(since) >= self.timings.lapse();
        lapsed.then_some(newest)
    }
}

use {
    super::{
        AssignmentAction, HOLDING_TABLE, HeldEngine, HolderRow, HostRow, KnownLease, LeaseTimings,
        TakenEngine,
        assignment_rows::{AssignmentRows, StoredHolder},
        holder_rows::{era_of_fence, next_fence},
        host_key,
        lease_checks::LeaseChecks,
        recording::Recording,
        resumption::Resumption,
        store_era::StoreEra,
        takeover_batches::{LapsedLease, MAX_BATCH_ENGINES, TakeoverBatches, VacantEngine},
        takeover_turns::TakeoverTurns,
    },
    crate::{
        clock::Instant,
        formats::{Expectation, Row, RowBatch, RowKey, RowWrite, StoreVersion, Transaction},
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

/// Spread of table reads after lost replies, per row of the table.
///
/// Many hosts lose replies at the same moment, and their reads would load the store and the links together.
const REREAD_SPREAD_PER_ROW: Duration = Duration::from_millis(1);

/// Time for which an engine is vacant before the lease of its holder is read: shorter vacancies are restarts, or news of a
/// takeover that is on its way.
const LEASE_CHECK_DELAY: Duration = Duration::from_millis(500);

/// Decides which engines this host takes, and whether it may send orders to them.
///
/// A lease is valid from when its renewal was sent, on this host's monotonic clock. A lost host's engine is taken in
/// a transaction that expects the lost host's lease row to be unchanged for a lease and a gap. If it succeeds, the
/// lost host has not renewed since and its last order is old enough.
///
/// A restoration of the store may lose any of these rows. Nobody takes an engine whose row is of an earlier era until the lease
/// that its holder may have had is over, and holders record their engines anew.
pub struct EngineAssignment {
    local_host: HostRow,
    timings: LeaseTimings,
    lease: SessionLease,
    era: StoreEra,
    /// Version of this host's row, once known; absent if there is none.
    row_version: Option<StoreVersion>,
    renewed_version: StoreVersion,
    is_renewing: bool,
    /// Confirms the engines that an earlier process of this host held, with the first renewal.
    resumption: Resumption,
    /// Records the engines held since before a restoration of the store, with a renewal.
    recording: Recording,
    next_renewal: Instant,
    is_reading: bool,
    next_read: Instant,
    /// Term of the lease in which the table was last read.
    read_term: u64,
    rows: AssignmentRows,
    held: BTreeMap<String, HeldEngine>,
    /// Engines that are not tried before the given time.
    blocked_until: BTreeMap<String, Instant>,
    /// Engines without an active holder, and since when.
    vacant_since: BTreeMap<String, Instant>,
    /// When to read the table again after a lost reply.
    reread_at: Option<Instant>,
    /// Maximum number of engines in one transaction.
    max_batch_engines: usize,
    /// Engines whose conflict replies did not explain the conflict.
    conflicting: BTreeSet<String>,
    lease_checks: LeaseChecks,
    rng: StdRng,
}

impl EngineAssignment {
    pub fn new(
        local_host: HostRow,
        timings: LeaseTimings,
        now: Instant,
    ) -> Self {
        Self {
            rng: StdRng::seed_from_u64(local_host.process),
            local_host,
            lease: SessionLease::new(timings.ttl),
            timings,
            era: StoreEra::default(),
            row_version: None,
            renewed_version: StoreVersion::default(),
            is_renewing: false,
            resumption: Resumption::default(),
            recording: Recording::default(),
            next_renewal: now,
            is_reading: false,
            next_read: now,
            read_term: 0,
            rows: AssignmentRows::default(),
            held: BTreeMap::new(),
            blocked_until: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            reread_at: None,
            max_batch_engines: MAX_BATCH_ENGINES,
            conflicting: BTreeSet::new(),
            lease_checks: LeaseChecks::new(now),
        }
    }

    /// Returns this host's lease, which must be checked right before each order.
    pub fn lease(&self) -> &SessionLease {
        &self.lease
    }

    /// Returns the version of this host's lease row at its last renewal, absent if there was none.
    pub fn lease_version(&self) -> StoreVersion {
        self.renewed_version
    }

    /// Returns the engines that this host may send orders to now.
    pub fn held(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&String, &HeldEngine)> {
        let term = self.lease.term();
        let holds = self.lease.is_valid(now);
        self.held.iter().filter(move |(target, held)| {
            holds && held.term == term && self.era.may_hold(target, now)
        })
    }

    /// Returns the engine if this host may send orders to it now.
    pub fn held_engine(
        &self,
        target: &str,
        now: Instant,
    ) -> Option<HeldEngine> {
        let held = self.held.get(target)?;
        let may_hold = self.lease.is_valid_in(held.term, now) && self.era.may_hold(target, now);
        may_hold.then_some(*held)
    }

    /// Returns the newest known era of the store.
    pub fn era(&self) -> u32 {
        self.era.number()
    }

    /// Records the era of an answer of the store; returns true if the store was restored since the last one.
    ///
    /// What was known of rows is void then. The engines held here are held on until the end of the lease, and are recorded anew
    /// with the next renewal, which follows at once.
    pub fn on_era(
        &mut self,
        era: u32,
        now: Instant,
    ) -> bool {
        if !self.era.is_restored_in(era) {
            self.era.begin(era);
            self.rows.set_first_era(era);
            return false;
        }
        let held: Vec<String> = self.held(now).map(|(target, _)| target.clone()).collect();
        let held_until = self.lease.expires_at();
        self.era.enter(era, held.into_iter(), held_until, now);
        self.rows.reset(era);
        self.resumption.abandon();
        self.recording.abandon();
        self.row_version = None;
        self.next_renewal = now;
        self.require_read(now);
        true
    }

    /// Returns true for a version of an earlier era than that of the newest answer.
    pub fn is_of_earlier_era(
        &self,
        version: StoreVersion,
    ) -> bool {
        version.era < self.era.number()
    }

    /// Returns the store operations that are due now.
    ///
    /// - `engines`: all engines, with the keys by which they are distributed
    /// - `takers`: the hosts that take engines
    /// - `is_likely_taker`: whether this host is likely to be a taker, while membership has not settled
    /// - `unclaimed`: the engines that no other responding host reports as its own
    /// - `lease_of`: the lease of another host as known to membership
    pub fn decide(
        &mut self,
        engines: &BTreeMap<String, String>,
        takers: &[SocketAddr],
        is_likely_taker: bool,
        unclaimed: impl FnOnce() -> Arc<BTreeMap<String, String>>,
        lease_of: impl Fn(SocketAddr) -> Option<KnownLease>,
        now: Instant,
    ) -> Vec<AssignmentAction> {
        let mut actions = Vec::new();
        self.held.retain(|target, _| engines.contains_key(target));
        self.vacant_since
            .retain(|target, _| engines.contains_key(target));
        self.blocked_until.retain(|_, until| now < *until);
        self.era.retain(|target| self.held.contains_key(target));
        let needs_lease = takers.contains(&self.local_host.peer)
            || self.is_holder(engines)
            || self.era.has_unrecorded();
        if !needs_lease && is_likely_taker && self.row_version.is_none() {
            // After a restart, a host resumes the engines that it held before takers are agreed on.
            actions.extend(self.read_table(now));
            return actions;
        }
        actions.extend(self.renew(needs_lease, now));
        if !self.lease.is_valid(now) {
            return actions;
        }
        if self.read_term != self.lease.term() {
            actions.extend(self.read_table(now));
            return actions;
        }
        if self.reread_at.is_some_and(|at| now >= at)
            && let Some(read) = self.read_table(now)
        {
            self.reread_at = None;
            actions.push(read);
        }
        let unclaimed = unclaimed();
        self.vacant_since
            .retain(|target, _| unclaimed.contains_key(target));
        self.conflicting
            .retain(|target| unclaimed.contains_key(target));
        let mut turns =
            TakeoverTurns::new(self.local_host.peer, takers, self.timings.takeover_interval);
        let mut batches = TakeoverBatches::new(self.local_host.peer, self.max_batch_engines);
        let blocked_until = now + self.timings.outcome_timeout;
        let mut lost = BTreeSet::new();
        for (target, key) in unclaimed.iter() {
            if self.blocked_until.contains_key(target) {
                continue;
            }
            if let Some(vacant) =
                self.vacant_engine(target, key, &mut turns, &lease_of, &mut lost, now)
            {
                self.blocked_until.insert(target.clone(), blocked_until);
                match self.conflicting.contains(target) {
                    true => batches.add_alone(vacant),
                    false => batches.add(vacant),
                }
            }
        }
        actions.extend(batches.finish());
        let check = self.lease_checks.next_check(&lost, now);
        actions.extend(check.map(|transaction| AssignmentAction::CheckLeases { transaction }));
        actions
    }

    /// Handles the end of a renewal sent at `sent`; `version` is `None` if it failed or its outcome is unknown.
    pub fn on_renewed(
        &mut self,
        sent: Instant,
        version: Option<StoreVersion>,
        now: Instant,
    ) {
        self.is_renewing = false;
        match version {
            Some(version) => {
                self.row_version = Some(version);
                self.renewed_version = version;
                self.lease.record_renewal(sent, now);
                self.resume();
                self.finish_recording(version);
                self.next_renewal = sent + self.timings.renewal_interval;
                self.record_at_once(now);
            }
            // If the row was written all the same, the next attempt fails with a conflict that names its version.
            None => {
                self.recording.abandon();
                self.next_renewal = now + self.jittered_backoff();
            }
        }
    }

    /// Handles a renewal conflict; the next attempt expects the version found.
    pub fn on_renewal_conflict(
        &mut self,
        rows: &[Row],
        now: Instant,
    ) {
        self.is_renewing = false;
        self.resumption.abandon();
        if self.recording.abandon() {
            // A row that was to be recorded anew is not as it was read.
            self.require_read(now);
        }
        self.next_renewal = now;
        let key = host_key(self.local_host.peer);
        let found = rows.iter().find(|row| *row.key == key);
        self.row_version = Some(found.map_or(StoreVersion::default(), |row| row.version));
    }

    /// Handles a read of the table, or `None` if it failed.
    pub fn on_table_read(
        &mut self,
        batch: Option<&RowBatch>,
        term: u64,
        now: Instant,
    ) {
        self.is_reading = false;
        if batch.is_some_and(|batch| self.is_of_earlier_era(batch.version)) {
            return;
        }
        let Some(RowBatch { rows, .. }) = batch else {
            self.next_read = now + self.jittered_backoff();
            if self.row_version.is_some() && self.read_term == term {
                // The read followed a lost reply.
                self.reread_at = Some(self.next_read);
            }
            return;
        };
        let key = host_key(self.local_host.peer);
        if self.row_version.is_none() {
            let local_row = rows.iter().find(|row| *row.key == key);
            self.row_version = Some(local_row.map_or(StoreVersion::default(), |row| row.version));
        }
        for row in rows {
            self.rows.apply(row, now);
        }
        if self.rows.has_earlier_rows() {
            self.era.on_earlier_row(now);
        }
        if term == self.lease.term() {
            self.read_term = term;
            self.confirm_held();
            self.record_at_once(now);
        }
    }

    /// Handles a transaction that made this host the holder of the engines.
    pub fn on_taken(
        &mut self,
        engines: &[TakenEngine],
        version: StoreVersion,
        term: u64,
        now: Instant,
    ) {
        let is_current = |engine: &TakenEngine| era_of_fence(engine.fence) == version.era;
        if !engines.iter().all(is_current) {
            // Carried out after a restoration of the store, against other rows than those that were read.
            return self.require_read(now);
        }
        self.max_batch_engines = MAX_BATCH_ENGINES;
        for TakenEngine { target, fence } in engines {
            self.blocked_until.remove(target);
            let row = HolderRow {
                holder: self.local_host.peer,
                fence: *fence,
            };
            self.rows.record_written(target, version, row);
            let held = HeldEngine {
                fence: *fence,
                term,
            };
            self.held.insert(target.clone(), held);
            self.vacant_since.remove(target);
            self.conflicting.remove(target);
        }
    }

    /// Handles a takeover transaction that found other rows than expected.
    ///
    /// The reply contains all rows as they are. The next attempt follows at once, without the engines that were taken
    /// by others, and with the new versions of the rest.
    pub fn on_take_conflict(
        &mut self,
        engines: &[TakenEngine],
        rows: &[Row],
        now: Instant,
    ) {
        let mut has_new_rows = false;
        for row in rows {
            has_new_rows |= self.rows.apply(row, now);
        }
        match engines {
            [one] if !has_new_rows => {
                // It stays pending and is tried alone from now on, so that it can't block others.
                self.conflicting.insert(one.target.clone());
                self.max_batch_engines = MAX_BATCH_ENGINES;
            }
            _ => {
                for TakenEngine { target, .. } in engines {
                    self.blocked_until.remove(target);
                }
                self.max_batch_engines = match has_new_rows {
                    true => MAX_BATCH_ENGINES,
                    false => engines.len().div_ceil(2),
                };
            }
        }
        // A reply from before the lease lapsed does not show what others have taken since.
        if self.read_term == self.lease.term() {
            self.confirm_held();
        }
    }

    /// Handles the leases of lost hosts as the store has them; `None` if they were not read.
    pub fn on_leases_checked(
        &mut self,
        rows: Option<&[Row]>,
        now: Instant,
    ) {
        let Some(rows) = rows else {
            let retry_at = now + self.jittered_backoff();
            return self.lease_checks.on_failed(retry_at);
        };
        self.lease_checks.on_checked();
        for row in rows {
            self.rows.apply(row, now);
        }
    }

    /// Handles a takeover transaction whose outcome is unknown.
    ///
    /// The engines stay pending, and the table is read again after a random delay.
    pub fn on_take_outcome_unknown(
        &mut self,
        now: Instant,
    ) {
        let rows = u32::try_from(self.rows.holder_count()).unwrap_or(u32::MAX);
        let spread = REREAD_SPREAD_PER_ROW * rows;
        let at = now + self.rng.random_range(Duration::ZERO..=spread);
        self.reread_at.get_or_insert(at);
    }

    /// Handles a takeover transaction that the store rejected without effect.
    pub fn on_take_rejected(
        &mut self,
        engines: &[TakenEngine],
        now: Instant,
    ) {
        let until = now + self.jittered_backoff();
        for TakenEngine { target, .. } in engines {
            self.blocked_until.insert(target.clone(), until);
        }
    }

    /// Returns the holder by the last row read.
    pub fn holder(
        &self,
        target: &str,
    ) -> Option<SocketAddr> {
        self.rows.holder(target).map(|stored| stored.row.holder)
    }

    /// Returns true if the last rows read name this host as the holder of one of the engines.
    fn is_holder(
        &self,
        engines: &BTreeMap<String, String>,
    ) -> bool {
        let mut assigned = self.rows.assigned_to(self.local_host.peer);
        assigned.any(|(target, _)| engines.contains_key(target))
    }

    /// Returns a renewal of the lease if it is due and this host needs one.
    fn renew(
        &mut self,
        needs_lease: bool,
        now: Instant,
    ) -> Option<AssignmentAction> {
        if !needs_lease || self.is_renewing || now < self.next_renewal {
            return None;
        }
        let Some(version) = self.row_version else {
            return self.read_table(now);
        };
        self.is_renewing = true;
        let is_large = self.rows.host_count() > self.timings.max_rereading_hosts;
        // Only in the first term: in later ones, replies to transactions of an earlier term may still arrive, and must
        // not be attributed to the new one.
        if is_large && self.lease.term() == 0 {
            self.resumption.begin(&self.rows, self.local_host.peer);
        }
        self.recording.begin(self.engines_to_record().into_iter());
        let row = RowKey::new(HOLDING_TABLE, &host_key(self.local_host.peer));
        let host_row = HostRow {
            settled_era: self.era.settled_number(self.timings.takeover_delay(), now),
            ..self.local_host.clone()
        };
        let value = serde_json::to_vec(&host_row).expect("host row serializes");
        let mut writes = vec![RowWrite {
            row: row.clone(),
            value: Some(value),
        }];
        writes.extend(self.recording.writes(self.local_host.peer));
        let mut expected = vec![Expectation {
            row: row.clone(),
            version,
        }];
        expected.extend(self.resumption.expectations());
        expected.extend(self.recording.expectations());
        Some(AssignmentAction::Renew {
            transaction: Transaction { expected, writes },
        })
    }

    /// Holds the engines that the first renewal has confirmed.
    fn resume(&mut self) {
        let term = self.lease.term();
        if let Some(engines) = self.resumption.finish() {
            self.read_term = term;
            self.held = engines
                .into_iter()
                .map(|(target, fence)| (target, HeldEngine { fence, term }))
                .collect();
        }
    }

    /// Records the engines that the last renewal has written.
    fn finish_recording(
        &mut self,
        version: StoreVersion,
    ) {
        let term = self.lease.term();
        for TakenEngine { target, fence } in self.recording.finish() {
            let row = HolderRow {
                holder: self.local_host.peer,
                fence,
            };
            self.rows.record_written(&target, version, row);
            self.era.on_recorded(&target);
            // In a later term than the one in which it was held, the rows are read first.
            if let Some(held) = self.held.get_mut(&target)
                && held.term == term
            {
                held.fence = fence;
            }
        }
    }

    /// Has the next renewal follow at once if it can record engines anew.
    fn record_at_once(
        &mut self,
        now: Instant,
    ) {
        if !self.engines_to_record().is_empty() {
            self.next_renewal = now;
        }
    }

    /// Returns the engines to record anew, with the versions of their rows.
    fn engines_to_record(&self) -> Vec<(TakenEngine, StoreVersion)> {
        let is_read = self.read_term == self.lease.term();
        let unrecorded = self
            .held
            .iter()
            .filter(|(target, _)| is_read && self.era.is_unrecorded(target));
        unrecorded
            .map(|(target, held)| {
                let stored = self.rows.holder(target);
                let version = stored.map_or(StoreVersion::default(), |stored| stored.version);
                let fence = self.fence_after(stored).max(held.fence + 1);
                let target = target.clone();
                (TakenEngine { target, fence }, version)
            })
            .collect()
    }

    /// Returns the fence for a new record of an engine.
    fn fence_after(
        &self,
        stored: Option<&StoredHolder>,
    ) -> u64 {
        let previous = stored.map_or(0, |stored| stored.row.fence);
        next_fence(previous, self.renewed_version, self.era.number())
    }

    /// Has the table read before engines are held or taken by what is known of its rows.
    fn require_read(
        &mut self,
        now: Instant,
    ) {
        self.read_term = 0;
        self.next_read = now;
    }

    fn read_table(
        &mut self,
        now: Instant,
    ) -> Option<AssignmentAction> {
        if self.is_reading || now < self.next_read {
            return None;
        }
        self.is_reading = true;
        Some(AssignmentAction::ReadTable)
    }

    /// Returns a random backoff before a call is retried.
    fn jittered_backoff(&mut self) -> Duration {
        let backoff = self.timings.retry_backoff;
        self.rng.random_range(backoff / 2..=backoff + backoff / 2)
    }

    /// Sets the held engines to those that the rows assign to this host, and those that are still to be recorded anew.
    fn confirm_held(&mut self) {
        let term = self.lease.term();
        let rows = &self.rows;
        let is_recorded = |target: &str| {
            let stored = rows.holder(target);
            stored.is_some_and(|stored| rows.is_current(stored))
        };
        let (era, held) = (&self.era, std::mem::take(&mut self.held));
        let unrecorded = held.into_iter().filter(|(target, held)| {
            held.term == term && era.is_unrecorded(target) && !is_recorded(target)
        });
        let assigned = rows.assigned_to(self.local_host.peer);
        let recorded =
            assigned
                .filter(|(_, stored)| rows.is_current(stored))
                .map(|(target, stored)| {
                    let fence = stored.row.fence;
                    (target.clone(), HeldEngine { fence, term })
                });
        self.held = unrecorded.chain(recorded).collect();
        self.era.retain(|target| !is_recorded(target));
    }

    /// Returns the engine if this host may take it now; adds its holder to `lost` if only its lease is in the way.
    fn vacant_engine(
        &mut self,
        target: &str,
        key: &str,
        turns: &mut TakeoverTurns,
        lease_of: &impl Fn(SocketAddr) -> Option<KnownLease>,
        lost: &mut BTreeSet<SocketAddr>,
        now: Instant,
    ) -> Option<VacantEngine> {
        if self.era.is_unrecorded(target) {
            return None;
        }
        let stored = self.rows.holder(target);
        // What was recorded in an earlier era names neither the last holder nor its lease for certain.
        let current = stored.filter(|stored| self.rows.is_current(stored));
        let holder = current.map(|stored| stored.row.holder);
        if holder == Some(self.local_host.peer) {
            if !self.held.contains_key(target) {
                self.confirm_held();
            }
            return None;
        }
        // Versions of the store's rows only increase, also across targets that reuse an address.
        let fence = self.fence_after(stored);
        let version = stored.map_or(StoreVersion::default(), |stored| stored.version);
        let vacant_since = match self.vacant_since.get(target) {
            Some(since) => *since,
            None => {
                self.vacant_since.insert(target.to_string(), now);
                now
            }
        };
        let vacant = now.saturating_duration_since(vacant_since);
        if !turns.can_take(key, vacant) {
            return None;
        }
        let lapsed = match holder {
            Some(host) => {
                let delay = self.timings.takeover_delay();
                let version = self.rows.lapsed_lease(host, lease_of(host), delay, now);
                if version.is_none() && vacant >= LEASE_CHECK_DELAY {
                    lost.insert(host);
                }
                let version = version?;
                Some(LapsedLease { host, version })
            }
            None if self.era.has_settled(self.timings.takeover_delay(), now) => None,
            None => return None,
        };
        let target = target.to_string();
        Some(VacantEngine {
            engine: TakenEngine { target, fence },
            version,
            lapsed,
        })
    }
}

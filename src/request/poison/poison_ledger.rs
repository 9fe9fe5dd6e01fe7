use {
    super::{Fingerprint, PoisonRecord, PoisonStatus, PoisonUpdate},
    crate::clock::Instant,
    std::collections::BTreeMap,
};

/// Maximum number of suspected requests.
pub const MAX_SUSPECTED: usize = 1024;

/// Maximum number of rejected requests. To push one out takes the crashes of thousands of targets within a day.
pub const MAX_REJECTED: usize = 4096;

/// The poison records that this host knows.
///
/// Suspected and rejected requests are bounded separately, so that no number of suspected ones pushes out a rejected
/// one.
#[derive(Debug, Default)]
pub struct PoisonLedger {
    records: BTreeMap<Fingerprint, PoisonRecord>,
    /// Sum of the records' digests.
    digest: u64,
    /// Requests whose records were pushed out by newer ones, until the next `evict_expired`.
    evicted: Vec<Fingerprint>,
}

impl PoisonLedger {
    /// Merges an update; returns true if it changed anything.
    pub fn merge(
        &mut self,
        update: &PoisonUpdate,
        now: Instant,
    ) -> bool {
        let last_crash = now - update.age;
        let known = self.records.get(&update.fingerprint).cloned();
        let (record, changed) = match known.clone() {
            Some(mut record) => {
                let changed = record.merge(update, last_crash);
                (record, changed)
            }
            None => (PoisonRecord::new(update, last_crash), true),
        };
        if record.expires_at() <= now {
            return false;
        }
        let has_room = known.is_some_and(|known| is_rejected(&known) == is_rejected(&record));
        if !has_room && !self.make_room(&record) {
            return false;
        }
        self.put(update.fingerprint, record);
        changed
    }

    /// Records that a target answered the request completely; returns true if there was evidence against it.
    pub fn clear(
        &mut self,
        fingerprint: &Fingerprint,
    ) -> bool {
        let Some(mut record) = self.records.get(fingerprint).cloned() else {
            return false;
        };
        let changed = record.clear();
        self.put(*fingerprint, record);
        changed
    }

    /// Evicts expired records. Returns the requests that have lost their record, including those pushed out by newer
    /// ones.
    pub fn evict_expired(
        &mut self,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let old = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at() <= now);
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &old {
            self.remove(fingerprint);
        }
        let mut removed = std::mem::take(&mut self.evicted);
        removed.extend(old);
        removed.retain(|fingerprint| !self.records.contains_key(fingerprint));
        removed
    }

    /// Returns the status of a request, or `None` if there is no evidence against it.
    pub fn status(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<PoisonStatus> {
        self.records.get(fingerprint)?.status()
    }

    pub fn get(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<&PoisonRecord> {
        self.records.get(fingerprint)
    }

    /// Returns a digest of the records, equal at hosts that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests with this status.
    pub fn count(
        &self,
        status: PoisonStatus,
    ) -> usize {
        let has_status = |record: &&PoisonRecord| record.status() == Some(status);
        self.records.values().filter(has_status).count()
    }

    /// Returns up to `count` records as updates, in order of fingerprints from the one after `after`, wrapping around.
    pub fn page(
        &self,
        after: Option<Fingerprint>,
        count: usize,
        now: Instant,
    ) -> Vec<PoisonUpdate> {
        let is_after = |fingerprint: &Fingerprint| after.is_some_and(|after| *fingerprint > after);
        let (later, earlier): (Vec<_>, Vec<_>) = self
            .records
            .iter()
            .partition(|(fingerprint, _)| is_after(fingerprint));
        let records = later.into_iter().chain(earlier).take(count);
        records
            .map(|(fingerprint, record)| record.to_update(*fingerprint, now))
            .collect()
    }

    /// Makes room among the records of the same status by removing the oldest; returns false if the new record is older
    /// than all of them.
    fn make_room(
        &mut self,
        record: &PoisonRecord,
    ) -> bool {
        let rejected = is_rejected(record);
        let is_alike = |kept: &PoisonRecord| is_rejected(kept) == rejected;
        let max = match rejected {
            true => MAX_REJECTED,
            false => MAX_SUSPECTED,
        };
        let alike = self.records.iter().filter(|(_, kept)| is_alike(kept));
        if alike.clone().count() < max {
            return true;
        }
        let oldest = alike.min_by_key(|(_, kept)| kept.last_crash());
        match oldest.map(|(fingerprint, kept)| (*fingerprint, kept.last_crash())) {
            Some((oldest, last_crash)) if last_crash < record.last_crash() => {
                self.remove(&oldest);
                self.evicted.push(oldest);
                true
            }
            _ => false,
        }
    }

    fn put(
        &mut self,
        fingerprint: Fingerprint,
        record: PoisonRecord,
    ) {
        self.remove(&fingerprint);
        self.digest = self.digest.wrapping_add(record.digest(&fingerprint));
        self.records.insert(fingerprint, record);
    }

    fn remove(
        &mut self,
        fingerprint: &Fingerprint,
    ) {
        if let Some(record) = self.records.remove(fingerprint) {
            self.digest = self.digest.wrapping_sub(record.digest(fingerprint));
        }
    }
}

fn is_rejected(record: &PoisonRecord) -> bool {
    record.status() == Some(PoisonStatus::Rejected)
}

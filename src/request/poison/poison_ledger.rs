use {
    super::{
        CrashTimes, IncarnationId, PoisonKey, PoisonRecord, PoisonStatus, PoisonUpdate,
        PoisonVerdict,
    },
    crate::clock::Instant,
    std::collections::BTreeMap,
};

/// Maximum number of suspected keys.
pub const MAX_SUSPECTED: usize = 1024;

/// Maximum number of rejected keys. To push one out takes the crashes of thousands of targets within a day.
pub const MAX_REJECTED: usize = 4096;

/// The poison records that this host knows.
///
/// Suspected and rejected keys are bounded separately, so that no number of suspected ones pushes out a rejected
/// one.
#[derive(Debug, Default)]
pub struct PoisonLedger {
    records: BTreeMap<PoisonKey, PoisonRecord>,
    times: CrashTimes,
    /// Sum of the records' digests.
    digest: u64,
    /// Keys whose records were pushed out by newer ones, until the next `evict_expired`.
    evicted: Vec<PoisonKey>,
}

impl PoisonLedger {
    /// Merges an update; returns true if it changed anything.
    pub fn merge(
        &mut self,
        update: &PoisonUpdate,
        now: Instant,
    ) -> bool {
        let last_crash = now - update.age;
        for evidence in &update.strikes {
            self.times.add(evidence.end, now - evidence.age, now);
        }
        self.times.settle(now);
        let known = self.records.get(&update.key).cloned();
        let (record, changed) = match known.clone() {
            Some(mut record) => {
                let changed = record.merge(update, last_crash);
                (record, changed)
            }
            None => (PoisonRecord::new(update, last_crash), true),
        };
        if record.expires_at(&self.times) <= now {
            return false;
        }
        let has_room =
            known.is_some_and(|known| self.is_rejected(&known) == self.is_rejected(&record));
        if !has_room && !self.make_room(&record) {
            return false;
        }
        self.put(update.key, record);
        changed
    }

    /// Lets the crashes count that were heard of some time ago; returns true if some may not have counted before.
    pub fn settle(
        &mut self,
        now: Instant,
    ) -> bool {
        self.times.settle(now)
    }

    /// Records that a target answered the request completely; returns true if there was evidence against it.
    pub fn clear(
        &mut self,
        key: &PoisonKey,
    ) -> bool {
        let Some(mut record) = self.records.get(key).cloned() else {
            return false;
        };
        let changed = record.clear();
        self.put(*key, record);
        changed
    }

    /// Records an incarnation that survived an answer with the part; returns false if that changes nothing that matters.
    pub fn add_survivor(
        &mut self,
        part: &PoisonKey,
        incarnation: IncarnationId,
    ) -> bool {
        let Some(mut record) = self.records.get(part).cloned() else {
            return false;
        };
        let changed = record.add_survivor(incarnation);
        self.put(*part, record);
        changed
    }

    /// Evicts expired records. Returns the keys that have lost their record, including those pushed out by newer
    /// ones.
    pub fn evict_expired(
        &mut self,
        now: Instant,
    ) -> Vec<PoisonKey> {
        let old = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at(&self.times) <= now);
        let old: Vec<PoisonKey> = old.map(|(key, _)| *key).collect();
        for key in &old {
            self.remove(key);
        }
        let is_named = |end: &IncarnationId| self.records.values().any(|record| record.names(end));
        self.times.retain(is_named);
        let mut removed = std::mem::take(&mut self.evicted);
        removed.extend(old);
        removed.retain(|key| !self.records.contains_key(key));
        removed
    }

    /// Returns the status of a key by itself, or `None` if there is no evidence against it.
    pub fn status(
        &self,
        key: &PoisonKey,
    ) -> Option<PoisonStatus> {
        self.records.get(key)?.status(&self.times)
    }

    /// Returns what follows for requests with this key, or `None` if there is no evidence against it.
    ///
    /// A part is rejected only together with the other keys that may as well have caused its crashes: nothing tells yet which
    /// of them it was.
    pub fn verdict(
        &self,
        key: &PoisonKey,
    ) -> Option<PoisonVerdict> {
        let record = self.records.get(key)?;
        let status = record.status(&self.times)?;
        if !key.is_part() || status != PoisonStatus::Rejected {
            return Some(PoisonVerdict::of(status));
        }
        let is_as_likely = |(other, kept): &(&PoisonKey, &PoisonRecord)| {
            *other != key && record.may_be_due_to(kept, &self.times)
        };
        let others = self.records.iter().filter(is_as_likely);
        Some(PoisonVerdict {
            status,
            only_with: others.map(|(other, _)| *other).collect(),
        })
    }

    /// Returns the rejected parts, whose verdicts may change with the evidence on other keys.
    pub fn rejected_parts(&self) -> impl Iterator<Item = PoisonKey> {
        let parts = self.records.iter().filter(|(key, _)| key.is_part());
        let rejected = parts.filter(|(_, record)| self.is_rejected(record));
        rejected.map(|(key, _)| *key)
    }

    pub fn get(
        &self,
        key: &PoisonKey,
    ) -> Option<&PoisonRecord> {
        self.records.get(key)
    }

    /// Returns the weight of what speaks against a key, less that of what speaks for it.
    pub fn score(
        &self,
        key: &PoisonKey,
    ) -> f64 {
        let record = self.records.get(key);
        record.map_or(0.0, |record| record.score(&self.times))
    }

    /// Returns the record of a key as an update for other hosts and the store.
    pub fn update(
        &self,
        key: &PoisonKey,
        now: Instant,
    ) -> Option<PoisonUpdate> {
        let record = self.records.get(key)?;
        Some(record.to_update(&self.times, now))
    }

    /// Returns a digest of the records, equal at hosts that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of keys with this status.
    pub fn count(
        &self,
        status: PoisonStatus,
    ) -> usize {
        let has_status = |record: &&PoisonRecord| record.status(&self.times) == Some(status);
        self.records.values().filter(has_status).count()
    }

    /// Returns up to `count` records as updates, in order of keys from the one after `after`, wrapping around.
    pub fn page(
        &self,
        after: Option<PoisonKey>,
        count: usize,
        now: Instant,
    ) -> Vec<PoisonUpdate> {
        let is_after = |key: &PoisonKey| after.is_some_and(|after| *key > after);
        let (later, earlier): (Vec<_>, Vec<_>) =
            self.records.iter().partition(|(key, _)| is_after(key));
        let records = later.into_iter().chain(earlier).take(count);
        records
            .map(|(_, record)| record.to_update(&self.times, now))
            .collect()
    }

    /// Makes room among the records of the same status by removing the oldest; returns false if the new record is older
    /// than all of them.
    fn make_room(
        &mut self,
        record: &PoisonRecord,
    ) -> bool {
        // Neither kind has reached its bound then, whatever the records say.
        if self.records.len() < MAX_SUSPECTED.min(MAX_REJECTED) {
            return true;
        }
        let rejected = self.is_rejected(record);
        let is_alike = |kept: &PoisonRecord| self.is_rejected(kept) == rejected;
        let max = match rejected {
            true => MAX_REJECTED,
            false => MAX_SUSPECTED,
        };
        let alike = self.records.iter().filter(|(_, kept)| is_alike(kept));
        if alike.clone().count() < max {
            return true;
        }
        let oldest = alike.min_by_key(|(_, kept)| kept.last_crash());
        match oldest.map(|(key, kept)| (*key, kept.last_crash())) {
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
        key: PoisonKey,
        record: PoisonRecord,
    ) {
        self.remove(&key);
        self.digest = self.digest.wrapping_add(record.digest());
        self.records.insert(key, record);
    }

    fn remove(
        &mut self,
        key: &PoisonKey,
    ) {
        if let Some(record) = self.records.remove(key) {
            self.digest = self.digest.wrapping_sub(record.digest());
        }
    }

    fn is_rejected(
        &self,
        record: &PoisonRecord,
    ) -> bool {
        record.status(&self.times) == Some(PoisonStatus::Rejected)
    }
}

use {
    super::{Fingerprint, PoisonRecord, Standing, ToldPoison},
    crate::clock::Instant,
    std::collections::BTreeMap,
};

/// Requests that are suspected at one time, at the most: some 300 kB. Each needs a target that ended.
pub const MAX_SUSPECTED: usize = 1024;

/// Requests that are refused at one time, at the most: some 1 MB. Each has ended three targets, so a caller who makes them up
/// needs 12,000 ends of targets in a day to push one out.
pub const MAX_REFUSED: usize = 4096;

/// What this host knows of requests that end targets.
///
/// Suspected and refused ones have room of their own, so that no number of suspects pushes a refused one out.
#[derive(Debug, Default)]
pub struct PoisonLedger {
    records: BTreeMap<Fingerprint, PoisonRecord>,
    /// Sum of the records' digests.
    digest: u64,
    /// Requests that others were kept in place of, until they are told.
    pushed_out: Vec<Fingerprint>,
}

impl PoisonLedger {
    /// Takes in what was told of a request; true if that is news.
    pub fn join(
        &mut self,
        told: &ToldPoison,
        now: Instant,
    ) -> bool {
        let latest = now - told.age;
        let known = self.records.get(&told.fingerprint).cloned();
        let (record, changed) = match known.clone() {
            Some(mut record) => {
                let changed = record.join(told, latest);
                (record, changed)
            }
            None => (PoisonRecord::new(told, latest), true),
        };
        if record.kept_until() <= now {
            return false;
        }
        let has_room = known.is_some_and(|known| is_refused(&known) == is_refused(&record));
        if !has_room && !self.makes_room(&record) {
            return false;
        }
        self.put(told.fingerprint, record);
        changed
    }

    /// A target gave the request a whole answer; true if anything spoke against it.
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

    /// Forgets what is old; gives the requests that are known no longer, those that others were kept in place of included.
    pub fn drop_old(
        &mut self,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let old = self
            .records
            .iter()
            .filter(|(_, record)| record.kept_until() <= now);
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &old {
            self.remove(fingerprint);
        }
        let mut gone = std::mem::take(&mut self.pushed_out);
        gone.extend(old);
        gone.retain(|fingerprint| !self.records.contains_key(fingerprint));
        gone
    }

    /// What is thought of a request; `None` if nothing speaks against it.
    pub fn standing(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<Standing> {
        self.records.get(fingerprint)?.standing()
    }

    pub fn get(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<&PoisonRecord> {
        self.records.get(fingerprint)
    }

    /// Equal at hosts that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests stand so.
    pub fn count(
        &self,
        standing: Standing,
    ) -> usize {
        let stands = |record: &&PoisonRecord| record.standing() == Some(standing);
        self.records.values().filter(stands).count()
    }

    /// Up to `count` records as they are told, those behind `after` first, around the end to the begin.
    pub fn page(
        &self,
        after: Option<Fingerprint>,
        count: usize,
        now: Instant,
    ) -> Vec<ToldPoison> {
        let behind = |fingerprint: &Fingerprint| after.is_some_and(|after| *fingerprint > after);
        let (later, earlier): (Vec<_>, Vec<_>) = self
            .records
            .iter()
            .partition(|(fingerprint, _)| behind(fingerprint));
        let told = later.into_iter().chain(earlier).take(count);
        told.map(|(fingerprint, record)| record.told(*fingerprint, now))
            .collect()
    }

    /// Makes room for a record among those that stand alike; false if it is older than all that would have to go.
    fn makes_room(
        &mut self,
        record: &PoisonRecord,
    ) -> bool {
        let refused = is_refused(record);
        let alike = |kept: &PoisonRecord| is_refused(kept) == refused;
        let most = match refused {
            true => MAX_REFUSED,
            false => MAX_SUSPECTED,
        };
        let alike = self.records.iter().filter(|(_, kept)| alike(kept));
        if alike.clone().count() < most {
            return true;
        }
        let oldest = alike.min_by_key(|(_, kept)| kept.latest());
        match oldest.map(|(fingerprint, kept)| (*fingerprint, kept.latest())) {
            Some((oldest, latest)) if latest < record.latest() => {
                self.remove(&oldest);
                self.pushed_out.push(oldest);
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

fn is_refused(record: &PoisonRecord) -> bool {
    record.standing() == Some(Standing::Refused)
}

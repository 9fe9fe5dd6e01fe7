use {
    super::{CrashEvidence, Fingerprint, IncarnationId, PoisonStatus, PoisonUpdate},
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Isolated crashes that get a request rejected. An innocent request would have to be at its start on three crashing
/// targets, and never be answered.
const MIN_ISOLATED_CRASHES: usize = 3;

/// The same if other targets crashed at about the same time. More, since a power loss crashes many targets, and callers
/// then send the lost requests again.
const MIN_CRASHES: usize = 4;

/// Maximum number of crashes kept per request, above those that get it rejected.
const MAX_CRASHES: usize = 8;

/// Maximum number of cleared crashes kept per request, so that late evidence of one is ignored.
const MAX_CLEARED: usize = 32;

/// Time from the last crash until a suspected request's record expires; callers retry within minutes.
pub const SUSPECTED_TTL: Duration = Duration::from_secs(600);

/// Time from the last crash until a rejected request's record expires. Long, as each expiry may cost three targets, and
/// a target's software is rarely fixed within a day.
pub const REJECTED_TTL: Duration = Duration::from_secs(24 * 3600);

/// The circumstances of one crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Circumstances {
    begun: bool,
    alone: bool,
}

/// The evidence against one request.
///
/// Records are merged by the union of their crashes, so that hosts converge whatever arrives late, repeated or in
/// another order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonRecord {
    crashes: BTreeMap<IncarnationId, Circumstances>,
    cleared: BTreeSet<IncarnationId>,
    /// When the last crash happened.
    last_crash: Instant,
}

impl PoisonRecord {
    /// Creates the record of an update.
    pub fn new(
        update: &PoisonUpdate,
        last_crash: Instant,
    ) -> Self {
        let mut record = Self {
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            last_crash,
        };
        record.merge(update, last_crash);
        record
    }

    /// Merges an update; returns true if anything but the time changed.
    pub fn merge(
        &mut self,
        update: &PoisonUpdate,
        last_crash: Instant,
    ) -> bool {
        let before = (self.crashes.clone(), self.cleared.clone());
        self.last_crash = self.last_crash.max(last_crash);
        self.cleared.extend(&update.cleared);
        for evidence in &update.strikes {
            let crash = Circumstances {
                begun: evidence.begun,
                alone: evidence.alone,
            };
            let known = self.crashes.entry(evidence.end).or_insert(crash);
            known.begun |= crash.begun;
            known.alone &= crash.alone;
        }
        self.trim();
        before != (self.crashes.clone(), self.cleared.clone())
    }

    /// Clears all crashes, since a target has answered the request completely; returns true if there were any.
    pub fn clear(&mut self) -> bool {
        let crashes: Vec<IncarnationId> = self.crashes.keys().copied().collect();
        self.cleared.extend(crashes);
        let changed = !self.crashes.is_empty();
        self.trim();
        changed
    }

    /// Drops what exceeds the bounds, the same at every host.
    fn trim(&mut self) {
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_first();
        }
        self.crashes.retain(|end, _| !self.cleared.contains(end));
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }

    /// Returns the request's status, or `None` if there is no evidence against it.
    pub fn status(&self) -> Option<PoisonStatus> {
        if self.crashes.is_empty() {
            return None;
        }
        let all = self.counted_crashes(|_| true);
        let isolated = self.counted_crashes(|crash| crash.alone);
        match all >= MIN_CRASHES || isolated >= MIN_ISOLATED_CRASHES {
            true => Some(PoisonStatus::Rejected),
            false => Some(PoisonStatus::Suspected),
        }
    }

    /// Returns the number of crashes that count. Those for which the request may have arrived too late count as one in
    /// all: a caller that retries at once meets every target that a power loss has crashed.
    fn counted_crashes(
        &self,
        counts: impl Fn(&Circumstances) -> bool,
    ) -> usize {
        let crashes = self.crashes.values().filter(|crash| counts(crash));
        let (begun, doubtful): (Vec<&Circumstances>, Vec<&Circumstances>) =
            crashes.partition(|crash| crash.begun);
        begun.len() + doubtful.len().min(1)
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns when the last crash happened.
    pub fn last_crash(&self) -> Instant {
        self.last_crash
    }

    /// Returns when the record expires.
    pub fn expires_at(&self) -> Instant {
        let ttl = match self.status() {
            Some(PoisonStatus::Rejected) => REJECTED_TTL,
            _ => SUSPECTED_TTL,
        };
        self.last_crash + ttl
    }

    /// Returns the record as an update for other hosts and the store.
    pub fn to_update(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> PoisonUpdate {
        let evidence = |(end, crash): (&IncarnationId, &Circumstances)| CrashEvidence {
            end: *end,
            begun: crash.begun,
            alone: crash.alone,
        };
        PoisonUpdate {
            fingerprint,
            strikes: self.crashes.iter().map(evidence).collect(),
            cleared: self.cleared.iter().copied().collect(),
            age: now.saturating_duration_since(self.last_crash),
        }
    }

    /// Returns a digest, equal for records with the same crashes.
    pub fn digest(
        &self,
        fingerprint: &Fingerprint,
    ) -> u64 {
        let mut bytes = fingerprint.as_bytes().to_vec();
        for (end, crash) in &self.crashes {
            bytes.extend_from_slice(&end.number().to_le_bytes());
            bytes.extend([u8::from(crash.begun), u8::from(crash.alone)]);
        }
        bytes.push(u8::MAX);
        for end in &self.cleared {
            bytes.extend_from_slice(&end.number().to_le_bytes());
        }
        xxh3_64(&bytes)
    }
}

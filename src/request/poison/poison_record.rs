use {
    super::{CrashEvidence, CrashId, Fingerprint, PoisonStatus, PoisonUpdate},
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Isolated crashes that get a request rejected. An innocent request would have to be at its start on three crashing
/// targets, and never be answered.
const ENOUGH_ALONE: usize = 3;

/// The same if other targets crashed at about the same time. More, since a power loss crashes many targets, and callers
/// then send the lost requests again.
const ENOUGH: usize = 4;

/// Maximum number of crashes kept per request, above those that get it rejected.
const MAX_STRIKES: usize = 8;

/// Maximum number of cleared crashes kept per request, so that late evidence of one is ignored.
const MAX_CLEARED: usize = 32;

/// Time from the last crash until a suspected request's record expires; callers retry within minutes.
pub const SUSPECTED_TTL: Duration = Duration::from_secs(600);

/// Time from the last crash until a rejected request's record expires. Long, as each expiry may cost three targets, and
/// a target's software is rarely fixed within a day.
pub const REJECTED_TTL: Duration = Duration::from_secs(24 * 3600);

/// The circumstances of one crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Proof {
    begun: bool,
    alone: bool,
}

/// The evidence against one request.
///
/// Records are merged by the union of their crashes, so that hosts converge whatever arrives late, repeated or in
/// another order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonRecord {
    strikes: BTreeMap<CrashId, Proof>,
    cleared: BTreeSet<CrashId>,
    /// When the last crash happened.
    latest: Instant,
}

impl PoisonRecord {
    /// Creates the record of an update.
    pub fn new(
        told: &PoisonUpdate,
        latest: Instant,
    ) -> Self {
        let mut record = Self {
            strikes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            latest,
        };
        record.join(told, latest);
        record
    }

    /// Merges an update; returns true if anything but the time changed.
    pub fn join(
        &mut self,
        told: &PoisonUpdate,
        latest: Instant,
    ) -> bool {
        let before = (self.strikes.clone(), self.cleared.clone());
        self.latest = self.latest.max(latest);
        self.cleared.extend(&told.cleared);
        for strike in &told.strikes {
            let proof = Proof {
                begun: strike.begun,
                alone: strike.alone,
            };
            let known = self.strikes.entry(strike.end).or_insert(proof);
            known.begun |= proof.begun;
            known.alone &= proof.alone;
        }
        self.trim();
        before != (self.strikes.clone(), self.cleared.clone())
    }

    /// Clears all crashes, since a target has answered the request completely; returns true if there were any.
    pub fn clear(&mut self) -> bool {
        let ends: Vec<CrashId> = self.strikes.keys().copied().collect();
        self.cleared.extend(ends);
        let changed = !self.strikes.is_empty();
        self.trim();
        changed
    }

    /// Drops what exceeds the bounds, the same at every host.
    fn trim(&mut self) {
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_first();
        }
        self.strikes.retain(|end, _| !self.cleared.contains(end));
        while self.strikes.len() > MAX_STRIKES {
            self.strikes.pop_last();
        }
    }

    /// Returns the request's status, or `None` if there is no evidence against it.
    pub fn standing(&self) -> Option<PoisonStatus> {
        if self.strikes.is_empty() {
            return None;
        }
        let all = self.proofs(|_| true);
        let alone = self.proofs(|proof| proof.alone);
        match all >= ENOUGH || alone >= ENOUGH_ALONE {
            true => Some(PoisonStatus::Refused),
            false => Some(PoisonStatus::Suspected),
        }
    }

    /// Returns the number of crashes that count. Those for which the request may have arrived too late count as one in
    /// all: a caller that retries at once meets every target that a power loss has crashed.
    fn proofs(
        &self,
        counts: impl Fn(&Proof) -> bool,
    ) -> usize {
        let proofs = self.strikes.values().filter(|proof| counts(proof));
        let (begun, doubtful): (Vec<&Proof>, Vec<&Proof>) = proofs.partition(|proof| proof.begun);
        begun.len() + doubtful.len().min(1)
    }

    pub fn strikes(&self) -> usize {
        self.strikes.len()
    }

    /// Returns when the last crash happened.
    pub fn latest(&self) -> Instant {
        self.latest
    }

    /// Returns when the record expires.
    pub fn kept_until(&self) -> Instant {
        let keep = match self.standing() {
            Some(PoisonStatus::Refused) => REJECTED_TTL,
            _ => SUSPECTED_TTL,
        };
        self.latest + keep
    }

    /// Returns the record as an update for other hosts and the store.
    pub fn told(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> PoisonUpdate {
        let strike = |(end, proof): (&CrashId, &Proof)| CrashEvidence {
            end: *end,
            begun: proof.begun,
            alone: proof.alone,
        };
        PoisonUpdate {
            fingerprint,
            strikes: self.strikes.iter().map(strike).collect(),
            cleared: self.cleared.iter().copied().collect(),
            age: now.saturating_duration_since(self.latest),
        }
    }

    /// Returns a digest, equal for records with the same crashes.
    pub fn digest(
        &self,
        fingerprint: &Fingerprint,
    ) -> u64 {
        let mut bytes = fingerprint.as_bytes().to_vec();
        for (end, proof) in &self.strikes {
            bytes.extend_from_slice(&end.number().to_le_bytes());
            bytes.extend([u8::from(proof.begun), u8::from(proof.alone)]);
        }
        bytes.push(u8::MAX);
        for end in &self.cleared {
            bytes.extend_from_slice(&end.number().to_le_bytes());
        }
        xxh3_64(&bytes)
    }
}

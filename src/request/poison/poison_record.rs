use {
    super::{CrashEvidence, CrashTimes, IncarnationId, PoisonKey, PoisonStatus, PoisonUpdate},
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Minimum number of isolated crashes that get a request rejected. An innocent request would have to be at its start on
/// three crashing targets, and never be answered.
const MIN_ISOLATED_CRASHES: usize = 3;

/// The same if other targets crashed at about the same time. More, since a power loss crashes many targets, and callers
/// then send the lost requests again.
const MIN_CRASHES: usize = 4;

/// Minimum weight of the crashes beyond the survivors that gets a part rejected. More than for requests, as a rejected part
/// turns all requests away that share it.
const MIN_PART_SCORE: f64 = 3.5;

/// A key whose score is lower by less than this is as likely the cause of crashes as another one.
const SCORE_TOLERANCE: f64 = 1.25;

/// Weight of a survivor against that of a crash: a part may spare some targets, while a sound one has many survivors.
const SURVIVOR_WEIGHT: f64 = 0.5;

/// Survivors are recorded from this number of crashes on: with fewer, no part is near its rejection.
const MIN_CRASHES_TO_SURVIVE: usize = 2;

/// Survivors that are recorded for each crash, and besides; with so many, further crashes can't get the part rejected, so
/// that a part in wide use costs few messages.
const SURVIVORS_PER_CRASH: usize = 2;
const SPARE_SURVIVORS: usize = 4;

/// Maximum number of crashes kept per record, above those that get it rejected.
const MAX_CRASHES: usize = 32;

/// Maximum number of cleared crashes kept per record, so that late evidence of one is ignored.
const MAX_CLEARED: usize = 32;

/// Maximum number of survivors kept per record.
const MAX_SURVIVORS: usize = 68;

/// Time from the last crash until a suspected record expires; callers retry within minutes.
pub const SUSPECTED_TTL: Duration = Duration::from_secs(600);

/// Time from the last crash until a rejected record expires. Long, as each expiry may cost three targets, and
/// a target's software is rarely fixed within a day.
pub const REJECTED_TTL: Duration = Duration::from_secs(24 * 3600);

/// The circumstances of one crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Circumstances {
    begun: bool,
    alone: bool,
}

/// The evidence on one key.
///
/// Records are merged by the union of their parts, so that hosts converge whatever arrives late, repeated or in
/// another order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonRecord {
    key: PoisonKey,
    crashes: BTreeMap<IncarnationId, Circumstances>,
    cleared: BTreeSet<IncarnationId>,
    survivors: BTreeSet<IncarnationId>,
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
            key: update.key,
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            survivors: BTreeSet::new(),
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
        let before = self.clone();
        self.last_crash = self.last_crash.max(last_crash);
        self.cleared.extend(&update.cleared);
        self.survivors.extend(&update.survivors);
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
        !self.has_same_evidence(&before)
    }

    fn has_same_evidence(
        &self,
        other: &Self,
    ) -> bool {
        self.crashes == other.crashes
            && self.cleared == other.cleared
            && self.survivors == other.survivors
    }

    /// Clears all crashes, since a target has answered the request completely; returns true if there were any.
    pub fn clear(&mut self) -> bool {
        let crashes: Vec<IncarnationId> = self.crashes.keys().copied().collect();
        self.cleared.extend(crashes);
        let changed = !self.crashes.is_empty();
        self.trim();
        changed
    }

    /// Records an incarnation that survived an answer with the part; returns false if that changes nothing that matters.
    pub fn add_survivor(
        &mut self,
        incarnation: IncarnationId,
    ) -> bool {
        let crashes = self.crashes.len();
        let enough = crashes * SURVIVORS_PER_CRASH + SPARE_SURVIVORS;
        if crashes < MIN_CRASHES_TO_SURVIVE || self.survivors.len() >= enough {
            return false;
        }
        let is_new = self.survivors.insert(incarnation);
        self.trim();
        is_new
    }

    /// Drops what exceeds the bounds, the same at every host.
    fn trim(&mut self) {
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_first();
        }
        while self.survivors.len() > MAX_SURVIVORS {
            self.survivors.pop_first();
        }
        let Self {
            crashes,
            cleared,
            survivors,
            ..
        } = self;
        // A part that an incarnation has survived is not what crashed it later.
        crashes.retain(|end, _| !cleared.contains(end) && !survivors.contains(end));
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }

    /// Returns the status by this record alone, or `None` if there is no evidence against the key.
    pub fn status(
        &self,
        times: &CrashTimes,
    ) -> Option<PoisonStatus> {
        if self.crashes.is_empty() {
            return None;
        }
        let is_rejected = match self.key {
            PoisonKey::Request(_) => self.rejects_request(),
            PoisonKey::Part(_) => self.rejects_part(times),
        };
        match is_rejected {
            true => Some(PoisonStatus::Rejected),
            false => Some(PoisonStatus::Suspected),
        }
    }

    fn rejects_request(&self) -> bool {
        let all = self.counted_crashes(|_| true);
        let isolated = self.counted_crashes(|crash| crash.alone);
        all >= MIN_CRASHES || isolated >= MIN_ISOLATED_CRASHES
    }

    fn rejects_part(
        &self,
        times: &CrashTimes,
    ) -> bool {
        // No crash weighs more than one.
        let may_suffice = self.crashes.len() as f64 >= MIN_PART_SCORE;
        may_suffice && self.score(times) >= MIN_PART_SCORE
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

    /// Returns the weight of the crashes less that of the survivors. Crashes for which the requests may have arrived too
    /// late weigh one in all.
    pub fn score(
        &self,
        times: &CrashTimes,
    ) -> f64 {
        self.score_of(times, |_| true)
    }

    /// Returns the score with some of the crashes alone.
    fn score_of(
        &self,
        times: &CrashTimes,
        counts: impl Fn(&IncarnationId) -> bool,
    ) -> f64 {
        let ends: Vec<IncarnationId> = self.crashes.keys().copied().collect();
        let (mut begun, mut doubtful) = (0.0, 0.0);
        for (end, crash) in self.crashes.iter().filter(|(end, _)| counts(end)) {
            match crash.begun {
                true => begun += times.weight(*end, &ends),
                false => doubtful += times.weight(*end, &ends),
            }
        }
        begun + f64::min(doubtful, 1.0) - SURVIVOR_WEIGHT * self.survivors.len() as f64
    }

    /// Returns true if another key may as well have caused the crashes that get this part rejected: about as much speaks
    /// against it, and without the crashes that it was there in, too, this part would not be rejected.
    pub fn may_be_due_to(
        &self,
        other: &Self,
        times: &CrashTimes,
    ) -> bool {
        if other.score(times) <= self.score(times) - SCORE_TOLERANCE {
            return false;
        }
        self.score_of(times, |end| !other.names(end)) < MIN_PART_SCORE
    }

    /// Returns true if the incarnation's crash speaks against the key.
    pub fn names(
        &self,
        end: &IncarnationId,
    ) -> bool {
        self.crashes.contains_key(end)
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    pub fn survivor_count(&self) -> usize {
        self.survivors.len()
    }

    /// Returns when the last crash happened.
    pub fn last_crash(&self) -> Instant {
        self.last_crash
    }

    /// Returns when the record expires.
    pub fn expires_at(
        &self,
        times: &CrashTimes,
    ) -> Instant {
        let ttl = match self.status(times) {
            Some(PoisonStatus::Rejected) => REJECTED_TTL,
            _ => SUSPECTED_TTL,
        };
        self.last_crash + ttl
    }

    /// Returns the record as an update for other hosts and the store.
    pub fn to_update(
        &self,
        times: &CrashTimes,
        now: Instant,
    ) -> PoisonUpdate {
        let evidence = |(end, crash): (&IncarnationId, &Circumstances)| CrashEvidence {
            end: *end,
            begun: crash.begun,
            alone: crash.alone,
            age: now.saturating_duration_since(times.get(*end).unwrap_or(self.last_crash)),
        };
        PoisonUpdate {
            key: self.key,
            strikes: self.crashes.iter().map(evidence).collect(),
            cleared: self.cleared.iter().copied().collect(),
            survivors: self.survivors.iter().copied().collect(),
            age: now.saturating_duration_since(self.last_crash),
        }
    }

    /// Returns a digest, equal for records with the same evidence.
    pub fn digest(&self) -> u64 {
        let mut bytes = self.key.to_bytes();
        for (end, crash) in &self.crashes {
            bytes.extend_from_slice(&end.number().to_le_bytes());
            bytes.extend([u8::from(crash.begun), u8::from(crash.alone)]);
        }
        for ends in [&self.cleared, &self.survivors] {
            bytes.push(u8::MAX);
            for end in ends {
                bytes.extend_from_slice(&end.number().to_le_bytes());
            }
        }
        xxh3_64(&bytes)
    }
}

use {
    super::StreamKey,
    crate::{clock::Instant, formats::SoftwareId},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which the origin of a stream matters after an event of it went out, and so a version after its last target was
/// listed.
pub const ORIGIN_TTL: Duration = Duration::from_secs(120);

/// Interval at which the origin of a running stream is recorded again.
pub const ORIGIN_REFRESH: Duration = Duration::from_secs(30);

/// Records that one host keeps; the oldest gives way.
const MAX_RECORDS: usize = 65_536;

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    pub key: StreamKey,
    pub software: SoftwareId,
    /// When an event of the stream last went out, as far as that was told.
    pub at: Instant,
}

/// Origins of streams, each for `ORIGIN_TTL`.
#[derive(Debug, Default)]
pub struct OriginRecords {
    by_key: HashMap<StreamKey, StreamOrigin>,
    /// Records in the order in which they came; those that were renewed stand there several times.
    queue: VecDeque<StreamOrigin>,
}

impl OriginRecords {
    /// Records an origin, unless a later record of the stream is known.
    pub fn record(
        &mut self,
        origin: StreamOrigin,
        now: Instant,
    ) {
        let known = self.by_key.get(&origin.key);
        if known.is_none_or(|known| known.at < origin.at) {
            self.by_key.insert(origin.key, origin);
            self.queue.push_back(origin);
        }
        self.evict(now);
    }

    /// Returns the version that began a stream.
    pub fn get(
        &self,
        key: StreamKey,
        now: Instant,
    ) -> Option<SoftwareId> {
        let origin = self.by_key.get(&key)?;
        is_valid(origin, now).then_some(origin.software)
    }

    /// Returns the valid records, the latest first.
    pub fn latest(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &StreamOrigin> {
        let current = |origin: &&StreamOrigin| self.by_key.get(&origin.key) == Some(*origin);
        let valid = move |origin: &&StreamOrigin| is_valid(origin, now);
        self.queue.iter().rev().filter(current).filter(valid)
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn evict(
        &mut self,
        now: Instant,
    ) {
        while let Some(oldest) = self.queue.front() {
            if is_valid(oldest, now) && self.queue.len() <= MAX_RECORDS {
                return;
            }
            if self.by_key.get(&oldest.key) == Some(oldest) {
                self.by_key.remove(&oldest.key);
            }
            self.queue.pop_front();
        }
    }
}

fn is_valid(
    origin: &StreamOrigin,
    now: Instant,
) -> bool {
    now.saturating_duration_since(origin.at) < ORIGIN_TTL
}

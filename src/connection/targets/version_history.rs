use crate::clock::Instant;

/// Maximum steps of one adapter's history. Versions come seconds apart, so that those before the oldest step have
/// expired anyway.
const MAX_STEPS: usize = 32;

/// Versions that were replaced at the same time, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Step {
    /// Exclusive upper bound of the versions; those of earlier steps are not included.
    below: u64,
    /// Their successors were acknowledged after this time; `None` if unknown.
    after: Option<Instant>,
}

/// Status of a version among the known ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// No newer one is known.
    Newest,
    /// Its direct successor was acknowledged after this time, possibly right after it.
    ReplacedAfter(Instant),
    /// It was replaced before this host knew the adapter's versions.
    ReplacedBefore,
}

/// The versions of one adapter known to this host.
///
/// Each version expires by its own successor: if all expired by the newest one, each newer version would let the oldest
/// serve again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionHistory {
    newest: u64,
    /// Oldest versions first.
    steps: Vec<Step>,
}

impl Default for VersionHistory {
    /// Starts at version 1, which is not published.
    fn default() -> Self {
        Self {
            newest: 1,
            steps: Vec::new(),
        }
    }
}

impl VersionHistory {
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Records a published version; returns false if it is not newer than the known ones.
    ///
    /// `after` is the last time at which the previously known version was the newest one. Versions in between may
    /// have been published as well, each after that time.
    pub fn on_published(
        &mut self,
        version: u64,
        after: Option<Instant>,
    ) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.steps.push(Step {
            below: version,
            after,
        });
        if self.steps.len() > MAX_STEPS {
            // Merge the oldest step into the next one, with the earlier time.
            let oldest = self.steps.remove(0);
            self.steps[0].after = oldest.after;
        }
        true
    }

    pub fn status_of(
        &self,
        version: u64,
    ) -> VersionStatus {
        let step = self.steps.iter().find(|step| version < step.below);
        match step.map(|step| step.after) {
            None => VersionStatus::Newest,
            Some(Some(after)) => VersionStatus::ReplacedAfter(after),
            Some(None) => VersionStatus::ReplacedBefore,
        }
    }
}

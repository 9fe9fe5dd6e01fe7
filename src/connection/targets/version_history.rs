use crate::clock::Instant;
/// Steps of one adapter's history that are kept. Versions come seconds apart, so that those before the
/// oldest step may serve no longer anyway.
const MAX_STEPS: usize = 32;

/// Versions that were replaced within one step: as far as this host knows, at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Step {
    /// They are below this version, and in no earlier step.
    below: u64,
    /// Their successors were acknowledged after this time; `None` if nothing is known of it.
    after: Option<Instant>,
}

/// How a version stands to those that are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// No newer one is known.
    Newest,
    /// Its direct successor was acknowledged after this time, maybe right after it.
    ReplacedAfter(Instant),
    /// It was replaced before this host knew of the adapter's versions.
    ReplacedBefore,
}

/// The versions of one adapter, as this host learnt of them.
///
/// Each version is judged by its own successor. Were all judged by the newest one, each newer version would let the
/// oldest serve again: on a day with three names in 15 s, requests began up to 7.1 s after their version was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionHistory {
    newest: u64,
    /// The oldest versions first.
    steps: Vec<Step>,
}

impl Default for VersionHistory {
    /// Nothing is named as long as there is only the first version.
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

    /// A version was named, and the one known before was the newest one at `after`, as far as this host
    /// knows; false if it is not newer.
    ///
    /// Versions in between may have been named as well, each of them after that time.
    pub fn on_named(
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
            // The versions of the oldest step are judged with the next, by the earlier time.
            let oldest = self.steps.remove(0);
            self.steps[0].after = oldest.after;
        }
        true
    }

    pub fn succession(
        &self,
        version: u64,
    ) -> Succession {
        let step = self.steps.iter().find(|step| version < step.below);
        match step.map(|step| step.after) {
            None => Succession::Newest,
            Some(Some(after)) => Succession::ReplacedAfter(after),
            Some(None) => Succession::ReplacedBefore,
        }
    }
}

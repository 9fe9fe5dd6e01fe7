use {
    super::SlotOutcome,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Initial limit, as a multiple of the target's parallelism: as many requests wait as run.
const FIRST_LIMIT: f64 = 2.0;

/// Maximum limit, as a multiple of the target's parallelism.
const MOST_LIMIT: f64 = 8.0;

/// Fraction of the latency goal above which a response lowers the limit. Leaves room for the variance of response
/// times.
const AIMED_SHARE: f64 = 0.5;

/// A slow response lowers the limit by `DECREASE_STEP`; a fast one at full load raises it by `INCREASE_STEP` divided by
/// the limit.
const STEP_DOWN: f64 = 0.25;
const STEP_UP: f64 = 0.5;

/// Factor by which a rejection by the target lowers the limit.
const CUT: f64 = 0.9;

/// An adaptive limit of the requests of all hosts that run or wait at one target.
#[derive(Debug)]
pub struct TargetSlots {
    slots: f64,
    limit: f64,
    /// When each held slot expires, by request id.
    taken: HashMap<u64, Instant>,
}

impl TargetSlots {
    /// Creates the limit of a target that runs `slots` requests in parallel.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: slots * FIRST_LIMIT,
            taken: HashMap::new(),
        }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn taken(&self) -> usize {
        self.taken.len()
    }

    /// Returns the share of slots in use, after releasing expired ones; at 1 or more the target is full.
    pub fn load(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.taken.retain(|_, until| now < *until);
        self.taken.len() as f64 / self.limit
    }

    /// Holds a slot until it is released or `until` has passed.
    pub fn take(
        &mut self,
        id: u64,
        until: Instant,
    ) {
        self.taken.insert(id, until);
    }

    /// Releases a slot and adjusts the limit. Repeated and late releases are ignored.
    pub fn end(
        &mut self,
        id: u64,
        end: SlotOutcome,
        aim: Duration,
    ) {
        let taken = self.taken.len() as f64;
        if self.taken.remove(&id).is_none() {
            return;
        }
        let limit = match end {
            SlotOutcome::Answered { took } if took > aim.mul_f64(AIMED_SHARE) => {
                self.limit - STEP_DOWN
            }
            // A target with free slots shows nothing about its capacity.
            SlotOutcome::Answered { .. } if taken + 1.0 >= self.limit => {
                self.limit + STEP_UP / self.limit
            }
            SlotOutcome::TurnedAway => self.limit * CUT,
            SlotOutcome::Answered { .. } | SlotOutcome::Other => self.limit,
        };
        self.limit = limit.clamp(self.slots, self.slots * MOST_LIMIT);
    }
}

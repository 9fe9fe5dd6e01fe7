use {
    super::SlotOutcome,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Initial limit, as a multiple of the target's parallelism: as many requests wait as run.
const INITIAL_LIMIT_FACTOR: f64 = 2.0;

/// Maximum limit, as a multiple of the target's parallelism.
const MAX_LIMIT_FACTOR: f64 = 8.0;

/// Fraction of the latency goal above which a response lowers the limit. Leaves room for the variance of response
/// times.
const SLOW_FRACTION: f64 = 0.5;

/// A slow response lowers the limit by `DECREASE_STEP`; a fast one at full load raises it by `INCREASE_STEP` divided by
/// the limit.
const DECREASE_STEP: f64 = 0.25;
const INCREASE_STEP: f64 = 0.5;

/// Factor by which a rejection by the target lowers the limit.
const REJECTION_FACTOR: f64 = 0.9;

/// An adaptive limit of the requests of all hosts that run or wait at one target.
#[derive(Debug)]
pub struct TargetSlots {
    parallelism: f64,
    limit: f64,
    /// When each held slot expires, by request id.
    in_use: HashMap<u64, Instant>,
}

impl TargetSlots {
    /// Creates the limit of a target that runs `parallelism` requests in parallel.
    pub fn new(parallelism: u32) -> Self {
        let parallelism = f64::from(parallelism.max(1));
        Self {
            parallelism,
            limit: parallelism * INITIAL_LIMIT_FACTOR,
            in_use: HashMap::new(),
        }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn in_use(&self) -> usize {
        self.in_use.len()
    }

    /// Returns the share of the limit in use, after releasing expired ones; at 1 or more the target is full.
    pub fn load(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.in_use.retain(|_, until| now < *until);
        self.in_use.len() as f64 / self.limit
    }

    /// Holds a slot until it is released or `until` has passed.
    pub fn acquire(
        &mut self,
        id: u64,
        until: Instant,
    ) {
        self.in_use.insert(id, until);
    }

    /// Releases a slot and adjusts the limit. Repeated and late releases are ignored.
    pub fn release(
        &mut self,
        id: u64,
        outcome: SlotOutcome,
        latency_goal: Duration,
    ) {
        let in_use = self.in_use.len() as f64;
        if self.in_use.remove(&id).is_none() {
            return;
        }
        let limit = match outcome {
            SlotOutcome::Answered { took } if took > latency_goal.mul_f64(SLOW_FRACTION) => {
                self.limit - DECREASE_STEP
            }
            // A target with free slots shows nothing about its capacity.
            SlotOutcome::Answered { .. } if in_use + 1.0 >= self.limit => {
                self.limit + INCREASE_STEP / self.limit
            }
            SlotOutcome::Rejected => self.limit * REJECTION_FACTOR,
            SlotOutcome::Answered { .. } | SlotOutcome::Other => self.limit,
        };
        self.limit = limit.clamp(self.parallelism, self.parallelism * MAX_LIMIT_FACTOR);
    }
}

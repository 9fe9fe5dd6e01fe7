use {
    super::{SlotOutcome, TargetSlots},
    crate::clock::Instant,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Minimum retry delay for a request that found no free slot.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Retry delays are spread over this time.
const RETRY_JITTER: Duration = Duration::from_millis(500);

/// A host's request for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotRequest<'a> {
    pub id: u64,
    /// Ids of targets that must not be chosen.
    pub excluded: &'a [String],
    /// The time within which the caller wants an answer.
    pub latency_goal: Duration,
    /// Time until the request's deadline, after which its slot is released.
    pub time_left: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum SlotResponse {
    Granted {
        target: Arc<str>,
    },
    /// All targets are full.
    Full {
        retry_after: Duration,
    },
    /// No target is eligible.
    NoTarget,
}

/// The slots at all targets of one plain service.
#[derive(Debug, Default)]
pub struct ServiceSlots {
    targets: BTreeMap<Arc<str>, TargetSlots>,
    latency_goal: Duration,
    /// Rejections so far, modulo the number of steps of the retry delay.
    rejections: u32,
}

impl ServiceSlots {
    /// Replaces the list of targets, given by id and parallelism; known targets keep their state.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = (&'a str, u32)>,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        self.targets = targets
            .map(|(id, parallelism)| match known.remove_entry(id) {
                Some(entry) => entry,
                None => (id.into(), TargetSlots::new(parallelism)),
            })
            .collect();
    }

    /// Allocates a slot at the eligible target with the lowest load.
    pub fn acquire(
        &mut self,
        request: &SlotRequest,
        now: Instant,
    ) -> SlotResponse {
        self.latency_goal = request.latency_goal;
        let eligible = self
            .targets
            .iter_mut()
            .filter(|(id, _)| !request.excluded.iter().any(|other| **other == ***id));
        let loads = eligible.map(|(id, slots)| (id.clone(), slots.load(now)));
        let Some((target, load)) = loads.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return SlotResponse::NoTarget;
        };
        if load >= 1.0 {
            return SlotResponse::Full {
                retry_after: self.next_retry_delay(),
            };
        }
        if let Some(slots) = self.targets.get_mut(&target) {
            slots.acquire(request.id, now + request.time_left);
        }
        SlotResponse::Granted { target }
    }

    /// Releases a slot.
    pub fn release(
        &mut self,
        target: &str,
        id: u64,
        outcome: SlotOutcome,
    ) {
        let latency_goal = self.latency_goal;
        if let Some(slots) = self.targets.get_mut(target) {
            slots.release(id, outcome, latency_goal);
        }
    }

    /// Returns the slots in use and the sum of the limits.
    pub fn usage(&self) -> (usize, f64) {
        let in_use = self.targets.values().map(TargetSlots::in_use).sum();
        let limit = self.targets.values().map(TargetSlots::limit).sum();
        (in_use, limit)
    }

    /// Cycles through evenly spaced delays, so that rejected callers retry at different times.
    fn next_retry_delay(&mut self) -> Duration {
        const STEPS: u32 = 8;
        self.rejections = (self.rejections + 1) % STEPS;
        MIN_RETRY_DELAY + RETRY_JITTER * self.rejections / STEPS
    }
}

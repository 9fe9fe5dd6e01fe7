use {
    super::{SlotOutcome, TargetSlots},
    crate::clock::Instant,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Minimum retry delay for a request that found no free slot.
const LEAST_COME_BACK: Duration = Duration::from_millis(150);

/// Retry delays are spread over this time.
const COME_BACK_SPREAD: Duration = Duration::from_millis(500);

/// A host's request for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotRequest<'a> {
    pub id: u64,
    /// Ids of targets that must not be chosen.
    pub passed_over: &'a [String],
    /// The time within which the caller wants an answer.
    pub aim: Duration,
    /// Time until the request's deadline, after which its slot is released.
    pub left: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum SlotResponse {
    Granted {
        target: Arc<str>,
    },
    /// All targets are full.
    Full {
        come_back: Duration,
    },
    /// No target is eligible.
    Nowhere,
}

/// The slots at all targets of one plain service.
#[derive(Debug, Default)]
pub struct ServiceSlots {
    targets: BTreeMap<Arc<str>, TargetSlots>,
    aim: Duration,
    /// Rejections so far, modulo the number of steps of the retry delay.
    refused: u32,
}

impl ServiceSlots {
    /// Replaces the list of targets, given by id and parallelism; known targets keep their state.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = (&'a str, u32)>,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        self.targets = targets
            .map(|(id, slots)| match known.remove_entry(id) {
                Some(entry) => entry,
                None => (id.into(), TargetSlots::new(slots)),
            })
            .collect();
    }

    /// Allocates a slot at the eligible target with the lowest load.
    pub fn ask(
        &mut self,
        ask: &SlotRequest,
        now: Instant,
    ) -> SlotResponse {
        self.aim = ask.aim;
        let open = self
            .targets
            .iter_mut()
            .filter(|(id, _)| !ask.passed_over.iter().any(|passed| **passed == ***id));
        let loads = open.map(|(id, places)| (id.clone(), places.load(now)));
        let Some((target, load)) = loads.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return SlotResponse::Nowhere;
        };
        if load >= 1.0 {
            return SlotResponse::Full {
                come_back: self.next_come_back(),
            };
        }
        if let Some(places) = self.targets.get_mut(&target) {
            places.take(ask.id, now + ask.left);
        }
        SlotResponse::Granted { target }
    }

    /// Releases a slot.
    pub fn end(
        &mut self,
        target: &str,
        id: u64,
        end: SlotOutcome,
    ) {
        let aim = self.aim;
        if let Some(places) = self.targets.get_mut(target) {
            places.end(id, end, aim);
        }
    }

    /// Returns the slots in use and the sum of the limits.
    pub fn usage(&self) -> (usize, f64) {
        let taken = self.targets.values().map(TargetSlots::taken).sum();
        let limit = self.targets.values().map(TargetSlots::limit).sum();
        (taken, limit)
    }

    /// Returns delays in equal steps, so that rejected callers don't retry in step.
    fn next_come_back(&mut self) -> Duration {
        const STEPS: u32 = 8;
        self.refused = (self.refused + 1) % STEPS;
        LEAST_COME_BACK + COME_BACK_SPREAD * self.refused / STEPS
    }
}

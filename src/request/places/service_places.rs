use {
    super::{PlaceEnd, TargetPlaces},
    crate::clock::Instant,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Requests that find no place are told to come back after this time at the least: sooner they meet the same.
const LEAST_COME_BACK: Duration = Duration::from_millis(150);

/// Refused requests are expected back within this time.
const COME_BACK_SPREAD: Duration = Duration::from_millis(500);

/// What a host asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceAsk<'a> {
    /// Names the ask.
    pub id: u64,
    /// Targets that this request is not to be sent to.
    pub passed_over: &'a [String],
    /// Time to the answer that the caller wants.
    pub aim: Duration,
    /// Time that the request has left: its place is free after it.
    pub left: Duration,
}

/// What it is told.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceAnswer {
    Granted {
        target: Arc<str>,
    },
    /// All targets are full; the caller does better to come back after this time.
    Full {
        come_back: Duration,
    },
    /// No target is known that it could be sent to.
    Nowhere,
}

/// The places at all targets of one plain service.
#[derive(Debug, Default)]
pub struct ServicePlaces {
    targets: BTreeMap<Arc<str>, TargetPlaces>,
    aim: Duration,
    /// Refusals since the last that was told the least time to come back.
    refused: u32,
}

impl ServicePlaces {
    /// The targets that take requests, with what each works on at once.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = (&'a str, u32)>,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        self.targets = targets
            .map(|(id, slots)| match known.remove_entry(id) {
                Some(entry) => entry,
                None => (id.into(), TargetPlaces::new(slots)),
            })
            .collect();
    }

    /// Gives a place at the target that has most room for a request.
    pub fn ask(
        &mut self,
        ask: &PlaceAsk,
        now: Instant,
    ) -> PlaceAnswer {
        self.aim = ask.aim;
        let open = self
            .targets
            .iter_mut()
            .filter(|(id, _)| !ask.passed_over.iter().any(|passed| **passed == ***id));
        let loads = open.map(|(id, places)| (id.clone(), places.load(now)));
        let Some((target, load)) = loads.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return PlaceAnswer::Nowhere;
        };
        if load >= 1.0 {
            return PlaceAnswer::Full {
                come_back: self.next_come_back(),
            };
        }
        if let Some(places) = self.targets.get_mut(&target) {
            places.take(ask.id, now + ask.left);
        }
        PlaceAnswer::Granted { target }
    }

    /// A request that had a place ended.
    pub fn end(
        &mut self,
        target: &str,
        id: u64,
        end: PlaceEnd,
    ) {
        let aim = self.aim;
        if let Some(places) = self.targets.get_mut(target) {
            places.end(id, end, aim);
        }
    }

    /// Places taken, and places there are.
    pub fn usage(&self) -> (usize, f64) {
        let taken = self.targets.values().map(TargetPlaces::taken).sum();
        let limit = self.targets.values().map(TargetPlaces::limit).sum();
        (taken, limit)
    }

    /// Refused callers are told different times, so that they don't come back together.
    fn next_come_back(&mut self) -> Duration {
        const STEPS: u32 = 8;
        self.refused = (self.refused + 1) % STEPS;
        LEAST_COME_BACK + COME_BACK_SPREAD * self.refused / STEPS
    }
}

use {
    super::PlaceEnd,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// A target is thought to bear twice as many requests as it works on at once, until answers tell otherwise: as many
/// wait as run, and each takes about twice its own time.
const FIRST_LIMIT: f64 = 2.0;

/// It is never thought to bear more than this multiple.
const MOST_LIMIT: f64 = 8.0;

/// Part of its aim that an answer may take before it speaks for fewer requests: times vary, and longer ones must still
/// be in time.
const AIMED_SHARE: f64 = 0.5;

/// An answer that took longer than it should lowers the limit by so many requests, one that did not raises it by
/// this over the limit: it falls within some tens of answers and comes back as slowly.
const STEP_DOWN: f64 = 0.25;
const STEP_UP: f64 = 0.5;

/// A target that has no room bears fewer than were thought, by this factor.
const CUT: f64 = 0.9;

/// The requests of all hosts that one target works on or has waiting, and how many it bears.
#[derive(Debug)]
pub struct TargetPlaces {
    slots: f64,
    limit: f64,
    /// By the id of the ask, until when its place is held.
    taken: HashMap<u64, Instant>,
}

impl TargetPlaces {
    /// A target that works on so many requests at once.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: slots * FIRST_LIMIT,
            taken: HashMap::new(),
        }
    }

    /// Requests that it bears at once.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn taken(&self) -> usize {
        self.taken.len()
    }

    /// How full it is; 1 and more takes no further request.
    pub fn load(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.taken.retain(|_, until| now < *until);
        self.taken.len() as f64 / self.limit
    }

    /// A request takes a place, until its end is told or this time is over.
    pub fn take(
        &mut self,
        id: u64,
        until: Instant,
    ) {
        self.taken.insert(id, until);
    }

    /// A request ended. What it tells counts only if its place was still held: ends may be told twice.
    pub fn end(
        &mut self,
        id: u64,
        end: PlaceEnd,
        aim: Duration,
    ) {
        let taken = self.taken.len() as f64;
        if self.taken.remove(&id).is_none() {
            return;
        }
        let limit = match end {
            PlaceEnd::Answered { took } if took > aim.mul_f64(AIMED_SHARE) => {
                self.limit - STEP_DOWN
            }
            // Only a target that is nearly full shows what it bears.
            PlaceEnd::Answered { .. } if taken + 1.0 >= self.limit => {
                self.limit + STEP_UP / self.limit
            }
            PlaceEnd::TurnedAway => self.limit * CUT,
            PlaceEnd::Answered { .. } | PlaceEnd::Other => self.limit,
        };
        self.limit = limit.clamp(self.slots, self.slots * MOST_LIMIT);
    }
}

use {crate::clock::Instant, std::time::Duration};

/// Ages are told of once in such a time.
const PERIOD: Duration = Duration::from_secs(1);

/// Share of its bound from which on an age is told of: copies that are read in time are younger than six
/// tenths, most of them than three.
const TOLD_SHARE: f64 = 0.6;

/// How old what requests rest on may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeliefBounds {
    /// The configuration, when a caller sends a request that is routed by it.
    pub declared: Duration,
    /// The configuration, when a request is sent for a customer's key that may have been taken away.
    pub revoke: Duration,
    /// The list of targets, when a request reaches one.
    pub targets: Duration,
    /// An adapter's version after its successor was acknowledged, when a request begins on it.
    pub version: Duration,
}

/// The largest ages of what requests rested on within a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LargestAges {
    pub declared: Duration,
    pub targets: Duration,
}

impl LargestAges {
    fn is_worth_telling(
        &self,
        bounds: &BeliefBounds,
    ) -> bool {
        self.declared > bounds.declared.mul_f64(TOLD_SHARE)
            || self.targets > bounds.targets.mul_f64(TOLD_SHARE)
    }
}

/// Watches how old the tables are that requests rest on, so that a bound which is only just kept is seen
/// before it is broken.
#[derive(Debug)]
pub struct BeliefAges {
    bounds: BeliefBounds,
    since: Instant,
    largest: LargestAges,
}

impl BeliefAges {
    pub fn new(
        bounds: BeliefBounds,
        now: Instant,
    ) -> Self {
        Self {
            bounds,
            since: now,
            largest: LargestAges::default(),
        }
    }

    /// A request is routed by a configuration of this age.
    pub fn on_routed(
        &mut self,
        age: Duration,
    ) {
        self.largest.declared = self.largest.declared.max(age);
    }

    /// A request is sent by a list of targets of this age.
    pub fn on_sent(
        &mut self,
        age: Duration,
    ) {
        self.largest.targets = self.largest.targets.max(age);
    }

    /// The largest ages of the period that is over, if they are worth a line.
    pub fn end_period(
        &mut self,
        now: Instant,
    ) -> Option<LargestAges> {
        if now.saturating_duration_since(self.since) < PERIOD {
            return None;
        }
        self.since = now;
        let largest = std::mem::take(&mut self.largest);
        largest.is_worth_telling(&self.bounds).then_some(largest)
    }
}

use {crate::clock::Instant, std::time::Duration};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of its bound above which a staleness is reported.
const REPORT_THRESHOLD: f64 = 0.6;

/// Maximum staleness of the table replicas that requests depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBounds {
    /// Of the configuration, when a request is routed by it.
    pub declared: Duration,
    /// Of the configuration, when a request is sent for a customer's key that may have been revoked.
    pub revoke: Duration,
    /// Of the list of targets, when a request reaches one.
    pub targets: Duration,
    /// Time after the acknowledgement of an adapter version's successor within which requests may still begin on
    /// the version.
    pub version: Duration,
}

/// The largest staleness of each table within a reporting interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MaxStaleness {
    pub declared: Duration,
    pub targets: Duration,
}

impl MaxStaleness {
    fn is_near_bound(
        &self,
        bounds: &StalenessBounds,
    ) -> bool {
        self.declared > bounds.declared.mul_f64(REPORT_THRESHOLD)
            || self.targets > bounds.targets.mul_f64(REPORT_THRESHOLD)
    }
}

/// Tracks the staleness of the tables that requests depend on, to report it before it exceeds a bound.
#[derive(Debug)]
pub struct StalenessMonitor {
    bounds: StalenessBounds,
    since: Instant,
    largest: MaxStaleness,
}

impl StalenessMonitor {
    pub fn new(
        bounds: StalenessBounds,
        now: Instant,
    ) -> Self {
        Self {
            bounds,
            since: now,
            largest: MaxStaleness::default(),
        }
    }

    /// Records that a request was routed by a configuration of this age.
    pub fn on_routed(
        &mut self,
        age: Duration,
    ) {
        self.largest.declared = self.largest.declared.max(age);
    }

    /// Records that a request was sent by a list of targets of this age.
    pub fn on_sent(
        &mut self,
        age: Duration,
    ) {
        self.largest.targets = self.largest.targets.max(age);
    }

    /// Ends the interval if it is over; returns its largest staleness if that is near a bound.
    pub fn end_interval(
        &mut self,
        now: Instant,
    ) -> Option<MaxStaleness> {
        if now.saturating_duration_since(self.since) < REPORT_INTERVAL {
            return None;
        }
        self.since = now;
        let largest = std::mem::take(&mut self.largest);
        largest.is_near_bound(&self.bounds).then_some(largest)
    }
}

use {crate::clock::Instant, std::time::Duration};

/// Once a target stops announcing a limit, its rate doubles at this interval, so that hosts don't resume all at once.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);

/// The limit is dropped after this many doublings.
const MAX_DOUBLINGS: u32 = 5;

/// Requests per second that are sent even under a lower limit: only another response can show that the limit has risen.
const MIN_RATE: f64 = 0.2;

/// The latest rate limit that a target has announced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second, summed over all hosts.
    pub rate: f64,
    /// When a host last received a response that confirms this state.
    pub reported_at: Instant,
    /// The last response no longer announced a limit.
    pub ended: bool,
}

impl AnnouncedLimit {
    /// Merges the states of two hosts: the later report wins, and at equal times the lower limit.
    pub fn merge(
        self,
        other: Self,
    ) -> Self {
        let rank = |limit: &Self| (limit.reported_at, !limit.ended);
        match rank(&self).cmp(&rank(&other)) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal if self.rate <= other.rate => self,
            std::cmp::Ordering::Equal => other,
        }
    }

    /// Returns the currently allowed requests per second, or `None` once the limit is over.
    pub fn rate_at(
        &self,
        now: Instant,
    ) -> Option<f64> {
        let rate = self.rate.max(MIN_RATE);
        if !self.ended {
            return Some(rate);
        }
        let passed = now.saturating_duration_since(self.reported_at);
        let doublings = passed.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64();
        (doublings < f64::from(MAX_DOUBLINGS)).then(|| rate * doublings.exp2())
    }
}

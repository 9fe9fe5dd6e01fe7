use {super::DecayingCount, crate::clock::Instant, std::time::Duration};

/// Half-life of the count of rejected requests: rejected callers retry within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Longest time between two requests that find no holder for holders to count as unknown in between. Only requests
/// without an engine look for holders, so that a holder that is known in between goes unnoticed.
const MAX_LOOK_GAP: Duration = Duration::from_secs(3);

/// A period without a known holder, as noticed by requests.
#[derive(Debug, Clone, Copy)]
struct HolderGap {
    since: Instant,
    last_seen: Instant,
}

/// Requests of one service that no engine could take, as counted by this host.
#[derive(Debug, Default)]
pub struct UnplacedRequests {
    waiting: u32,
    rejected: Option<DecayingCount>,
    holder_gap: Option<HolderGap>,
}

impl UnplacedRequests {
    /// Counts a request that begins to wait.
    pub fn on_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that ends its wait.
    pub fn on_wait_over(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts a rejected request.
    pub fn on_rejected(
        &mut self,
        now: Instant,
    ) {
        match &mut self.rejected {
            Some(rejected) => rejected.add(1.0, HALF_LIFE, now),
            None => self.rejected = Some(DecayingCount::new(1.0, now)),
        }
    }

    /// Returns the number of requests that wait or were rejected lately.
    pub fn crowd(
        &self,
        now: Instant,
    ) -> f64 {
        let rejected = self.rejected.as_ref();
        f64::from(self.waiting) + rejected.map_or(0.0, |rejected| rejected.value(HALF_LIFE, now))
    }

    /// Records whether a holder of the service's engines is known; returns for how long none has been, as far as
    /// requests have noticed.
    pub fn on_holders(
        &mut self,
        are_known: bool,
        now: Instant,
    ) -> Option<Duration> {
        if are_known {
            self.holder_gap = None;
            return None;
        }
        let is_ongoing =
            |gap: &HolderGap| now.saturating_duration_since(gap.last_seen) <= MAX_LOOK_GAP;
        let since = self
            .holder_gap
            .filter(is_ongoing)
            .map_or(now, |gap| gap.since);
        self.holder_gap = Some(HolderGap {
            since,
            last_seen: now,
        });
        Some(now.saturating_duration_since(since))
    }
}

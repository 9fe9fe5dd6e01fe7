use {super::DecayingCount, crate::clock::Instant, std::time::Duration};

/// Half-life of a rejected request in the count: rejected callers return within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Requests of one service that no engine could take, as counted by this host.
#[derive(Debug, Default)]
pub struct UnplacedRequests {
    waiting: u32,
    rejected: Option<DecayingCount>,
    holders_unknown_since: Option<Instant>,
}

impl UnplacedRequests {
    pub fn on_wait(&mut self) {
        self.waiting += 1;
    }

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
            self.holders_unknown_since = None;
            return None;
        }
        let since = *self.holders_unknown_since.get_or_insert(now);
        Some(now.saturating_duration_since(since))
    }
}

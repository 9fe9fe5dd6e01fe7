use {crate::clock::Instant, std::time::Duration};

/// Once a target names no limit any more, what it gets doubles in each such time, so that not all hosts come back at once.
const DOUBLING: Duration = Duration::from_secs(1);

/// After so many doublings the limit is over.
const DOUBLINGS: u32 = 5;

/// A target that names less gets so many requests a second all the same, as its next answer alone can tell that it takes more.
const LEAST_RATE: f64 = 0.2;

/// The limit that one start of a target has named last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests a second from all hosts together.
    pub rate: f64,
    /// When a host last heard of it.
    pub told: Instant,
    /// What was heard then was an answer that names no limit any more.
    pub ended: bool,
}

impl NamedLimit {
    /// Joins what two hosts know: what was heard later counts; of two limits of the same moment the smaller.
    pub fn join(
        self,
        other: Self,
    ) -> Self {
        let rank = |limit: &Self| (limit.told, !limit.ended);
        match rank(&self).cmp(&rank(&other)) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal if self.rate <= other.rate => self,
            std::cmp::Ordering::Equal => other,
        }
    }

    /// Requests a second that the target may get now; `None` once the limit is over.
    pub fn rate_at(
        &self,
        now: Instant,
    ) -> Option<f64> {
        let rate = self.rate.max(LEAST_RATE);
        if !self.ended {
            return Some(rate);
        }
        let passed = now.saturating_duration_since(self.told);
        let doublings = passed.as_secs_f64() / DOUBLING.as_secs_f64();
        (doublings < f64::from(DOUBLINGS)).then(|| rate * doublings.exp2())
    }
}

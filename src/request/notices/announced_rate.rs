use {
    super::RateHeader,
    crate::clock::Instant,
    std::{cmp::Ordering, time::Duration},
};

/// Once a target stops announcing a limit, its rate doubles at this interval, so that hosts don't resume all at once.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);

/// The limit is dropped after this many doublings.
const MAX_DOUBLINGS: u32 = 5;

/// Requests per second that are sent even under a lower limit: only another response can show that the limit has risen.
const MIN_LIMIT: f64 = 0.2;

/// The latest rate that a target has announced: of the requests that it accepts, or of the rejections that it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnnouncedRate {
    /// Per second, summed over all hosts.
    pub rate: f64,
    /// When a host last received a response that confirms this state.
    pub reported_at: Instant,
    /// The last response no longer announced a rate.
    pub ended: bool,
}

/// A change in what a target announces, with the rate per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// A new or changed rate.
    Announced(f64),
    /// The rate that was in force is no longer announced.
    Ended(f64),
}

impl AnnouncedRate {
    /// Records the header in the response to a request that was sent at `sent`, and returns what changed.
    pub fn record(
        known: &mut Option<Self>,
        header: RateHeader,
        sent: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let in_force = known.filter(|known| !known.ended);
        match header {
            RateHeader::Rate(rate) => {
                *known = Some(Self {
                    rate,
                    reported_at: now,
                    ended: false,
                });
                let same = in_force.is_some_and(|in_force| in_force.rate == rate);
                (!same).then_some(RateChange::Announced(rate))
            }
            // A response to a request that was sent before the rate was announced can't end it.
            RateHeader::Absent => {
                let ended = in_force.filter(|in_force| in_force.reported_at < sent)?;
                *known = Some(Self {
                    reported_at: now,
                    ended: true,
                    ..ended
                });
                Some(RateChange::Ended(ended.rate))
            }
            RateHeader::Unknown => None,
        }
    }

    /// Merges what two hosts know: the later report wins, and at equal times the lower rate.
    pub fn merge(
        known: Option<Self>,
        remote: Option<Self>,
    ) -> Option<Self> {
        let (Some(known), Some(remote)) = (known, remote) else {
            return known.or(remote);
        };
        let rank = |state: &Self| (state.reported_at, !state.ended);
        let merged = match rank(&known).cmp(&rank(&remote)) {
            Ordering::Greater => known,
            Ordering::Less => remote,
            Ordering::Equal if known.rate <= remote.rate => known,
            Ordering::Equal => remote,
        };
        Some(merged)
    }

    /// Returns the rate while it is announced.
    pub fn in_force(&self) -> Option<f64> {
        (!self.ended).then_some(self.rate)
    }

    /// Returns the requests per second that a limit allows now, or `None` once it is over.
    pub fn limit_at(
        &self,
        now: Instant,
    ) -> Option<f64> {
        let rate = self.rate.max(MIN_LIMIT);
        if !self.ended {
            return Some(rate);
        }
        let passed = now.saturating_duration_since(self.reported_at);
        let doublings = passed.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64();
        (doublings < f64::from(MAX_DOUBLINGS)).then(|| rate * doublings.exp2())
    }
}

use std::time::Duration;

/// Added to the time at which room is expected, so that a caller does not return just before it.
pub(super) const RETRY_MARGIN: Duration = Duration::from_millis(40);

/// Longest retry delay, as a share of the time until the deadline. Callers honour up to a third.
pub(super) const MAX_RETRY_SHARE: f64 = 0.3;

/// Share of the longest retry delay that is kept for the spread, if room is expected only near its end.
const MIN_SPREAD_SHARE: f64 = 0.25;

/// Requests of this priority and less urgent ones return in the last part of the spread.
const LOWEST_PRIORITY: u8 = 2;

/// Spreads the retries of rejected callers, for load under which many are rejected at the same time: if they returned
/// together, most would be rejected again, which costs them more than the first rejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySpread {
    /// Other requests of the service that wait at this host or were rejected by it lately.
    pub crowd: f64,
    /// Mean time between two requests of this host that engines find room for.
    pub room_interval: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Random number in `0.0..1.0`.
    pub draw: f64,
}

impl RetrySpread {
    /// Returns the retry delay of a request that is rejected now, if room is expected after `room` and its deadline is
    /// after `time_left`.
    ///
    /// It is never longer than what the caller honours. The more urgent requests return in an earlier part of the
    /// spread.
    pub fn retry_after(
        &self,
        room: Duration,
        time_left: Duration,
    ) -> Duration {
        let latest = time_left.mul_f64(MAX_RETRY_SHARE);
        let width = self.width().min(latest);
        let kept = width.min(latest.mul_f64(MIN_SPREAD_SHARE));
        let first = room.saturating_add(RETRY_MARGIN).min(latest - kept);
        let width = width.min(latest - first);
        let part = (f64::from(self.priority.min(LOWEST_PRIORITY)) + self.draw)
            / f64::from(LOWEST_PRIORITY + 1);
        first + width.mul_f64(part.clamp(0.0, 1.0))
    }

    /// Returns the time after which there has been room for all requests of the crowd.
    fn width(&self) -> Duration {
        let seconds = self.room_interval.as_secs_f64() * self.crowd.max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

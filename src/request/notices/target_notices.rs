use {
    super::{AnnouncedRate, Notice, announced_rate::RateChange},
    crate::{clock::Instant, formats::TargetStart},
};

/// A change in a target's notices, to be logged and sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoticeChange {
    /// A new or changed limit, in requests per second.
    Limited { rate: f64 },
    /// The limit that was in force, in requests per second, is no longer announced.
    Unlimited { rate: f64 },
    /// From now on the target falls over if it turns away more than so many requests per second.
    Brittle { rejections: f64 },
    /// The target is no longer brittle.
    NoLongerBrittle,
    /// The target is shutting down.
    Leaving,
    /// The target accepts no requests from this host until then.
    BackingOff { until: Instant },
}

impl NoticeChange {
    fn of_limit(change: RateChange) -> Self {
        match change {
            RateChange::Announced(rate) => Self::Limited { rate },
            RateChange::Ended(rate) => Self::Unlimited { rate },
        }
    }

    fn of_brittleness(change: RateChange) -> Self {
        match change {
            RateChange::Announced(rejections) => Self::Brittle { rejections },
            RateChange::Ended(_) => Self::NoLongerBrittle,
        }
    }

    /// Returns true for changes that concern all hosts; a backoff concerns only the host that received it.
    pub fn is_site_wide(&self) -> bool {
        !matches!(self, Self::BackingOff { .. })
    }
}

/// The notices of one start of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetNotices {
    /// `None` if the platform does not report start times.
    pub start: Option<TargetStart>,
    /// Requests that the target accepts.
    pub limit: Option<AnnouncedRate>,
    /// Rejections that the target bears, if it is brittle.
    pub brittleness: Option<AnnouncedRate>,
    /// The target is shutting down; never reset.
    pub leaving: bool,
    /// The target accepts no requests from this host until then.
    pub backoff_until: Option<Instant>,
    /// When the last notice was received.
    pub updated_at: Instant,
}

impl TargetNotices {
    pub fn new(
        start: Option<TargetStart>,
        now: Instant,
    ) -> Self {
        Self {
            start,
            limit: None,
            brittleness: None,
            leaving: false,
            backoff_until: None,
            updated_at: now,
        }
    }

    /// Records the notices in the response to a request that was sent at `sent`, and returns what changed.
    pub fn record(
        &mut self,
        notice: &Notice,
        sent: Instant,
        now: Instant,
    ) -> Vec<NoticeChange> {
        self.updated_at = now;
        let mut changes = Vec::new();
        let limit = AnnouncedRate::record(&mut self.limit, notice.limit, sent, now);
        changes.extend(limit.map(NoticeChange::of_limit));
        let brittleness = AnnouncedRate::record(&mut self.brittleness, notice.brittle, sent, now);
        changes.extend(brittleness.map(NoticeChange::of_brittleness));
        if notice.leaving && !self.leaving {
            self.leaving = true;
            changes.push(NoticeChange::Leaving);
        }
        if let Some(backoff) = notice.backoff {
            let until = now + backoff;
            if self.backoff_until.is_none_or(|known| known < until) {
                self.backoff_until = Some(until);
                changes.push(NoticeChange::BackingOff { until });
            }
        }
        changes
    }

    /// Returns the rejections per second that the target bears, if it is brittle.
    pub fn borne_rejections(&self) -> Option<f64> {
        self.brittleness?.in_force()
    }

    /// Returns the end of the backoff that the target has asked for, if it is not over.
    pub fn active_backoff(
        &self,
        now: Instant,
    ) -> Option<Instant> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Returns true if a rate limit is in force.
    pub fn is_limited(
        &self,
        now: Instant,
    ) -> bool {
        let limit = self.limit.as_ref();
        limit.is_some_and(|limit| limit.limit_at(now).is_some())
    }

    /// Returns true if anything that is shared with all hosts is in force.
    pub fn bind_all_hosts(
        &self,
        now: Instant,
    ) -> bool {
        self.leaving || self.is_limited(now) || self.borne_rejections().is_some()
    }

    /// Merges another host's entry for the same start. Returns true if a limit, brittleness or the shutdown notice changed; a mere
    /// confirmation is no change. Backoffs are not shared.
    pub fn merge(
        &mut self,
        other: &Self,
    ) -> bool {
        let before = self.shared_state();
        self.leaving |= other.leaving;
        self.limit = AnnouncedRate::merge(self.limit, other.limit);
        self.brittleness = AnnouncedRate::merge(self.brittleness, other.brittleness);
        self.updated_at = self.updated_at.max(other.updated_at);
        before != self.shared_state()
    }

    /// Returns the part that is shared with all hosts.
    fn shared_state(&self) -> SharedState {
        SharedState {
            limit: self.limit.map(|limit| (limit.rate, limit.ended)),
            borne_rejections: self.borne_rejections(),
            leaving: self.leaving,
        }
    }
}

/// What hosts tell each other of a target's notices.
#[derive(Debug, PartialEq)]
struct SharedState {
    /// Requests per second, and whether the limit has ended.
    limit: Option<(f64, bool)>,
    /// Rejections per second that a brittle target bears.
    borne_rejections: Option<f64>,
    leaving: bool,
}

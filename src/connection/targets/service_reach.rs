use {crate::clock::Instant, std::time::Duration};

/// Minimum time between two checks of a service whose targets answer.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this host reaches any target of one service.
///
/// A target that fails says nothing of the others, so a suspicion is checked at several of them at once. Only a check that none
/// of them answers makes the service unreached, and the first answer ends that.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceReach {
    state: ReachState,
    /// When a target last answered a check.
    answered_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum ReachState {
    #[default]
    Reached,
    Checking {
        since: Instant,
    },
    Unreached {
        since: Instant,
        /// No open connection brought anything during the check either.
        is_silent: bool,
    },
}

impl ServiceReach {
    /// Starts a check of a suspicion; returns false if one is under way, was just answered, or is not needed any more.
    pub fn begin_check(
        &mut self,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECHECK_INTERVAL;
        if self.state != ReachState::Reached || self.answered_at.is_some_and(is_recent) {
            return false;
        }
        self.state = ReachState::Checking { since: now };
        true
    }

    /// Handles the end of a check that no target answered; `last_heard` is when any connection last brought data. Returns
    /// true if the service is unreached from now on.
    pub fn on_unanswered(
        &mut self,
        last_heard: Option<Instant>,
        now: Instant,
    ) -> bool {
        let ReachState::Checking { since } = self.state else {
            return false;
        };
        let is_silent = last_heard.is_none_or(|heard| heard < since);
        self.state = ReachState::Unreached {
            since: now,
            is_silent,
        };
        true
    }

    /// Handles an answer over a new connection; returns for how long the service was unreached, if it was.
    pub fn on_answered(
        &mut self,
        now: Instant,
    ) -> Option<Duration> {
        let before = std::mem::take(&mut self.state);
        self.answered_at = Some(now);
        match before {
            ReachState::Unreached { since, .. } => Some(now.saturating_duration_since(since)),
            ReachState::Reached | ReachState::Checking { .. } => None,
        }
    }

    /// Returns when a target last answered over a new connection.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Returns true if no target can be reached over a new connection.
    pub fn is_unreached(&self) -> bool {
        matches!(self.state, ReachState::Unreached { .. })
    }

    /// Returns true if open connections have brought nothing either for `time` since the check.
    pub fn is_silent_for(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        match self.state {
            ReachState::Unreached { since, is_silent } => {
                is_silent && now.saturating_duration_since(since) >= time
            }
            ReachState::Reached | ReachState::Checking { .. } => false,
        }
    }

    /// Returns true if open connections bring nothing either.
    pub fn is_silent(&self) -> bool {
        matches!(
            self.state,
            ReachState::Unreached {
                is_silent: true,
                ..
            }
        )
    }
}

use {crate::clock::Instant, std::time::Duration};

/// Minimum time between an answered check of a target and the next check.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An answered check shows for so long that a silent target is well.
const ANSWER_TTL: Duration = Duration::from_millis(800);

/// Whether a target from which nothing comes answers over a new connection.
///
/// Checks begin as the target falls silent, and are repeated until it answers one or sends anything else.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCheck {
    state: CheckState,
    /// When it last answered a check.
    answered_at: Option<Instant>,
    /// When it was last heard again after it had left checks unanswered.
    heard_again_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum CheckState {
    #[default]
    Idle,
    Running {
        /// When the first of these checks began.
        since: Instant,
        last: Option<UnansweredCheck>,
    },
}

/// A check that the target did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnansweredCheck {
    /// Other targets of the service were heard meanwhile.
    others_heard: bool,
}

impl TargetCheck {
    /// Starts checks; returns false if some are under way, or one was just answered.
    pub fn begin(
        &mut self,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECHECK_INTERVAL;
        if self.state != CheckState::Idle || self.answered_at.is_some_and(is_recent) {
            return false;
        }
        self.state = CheckState::Running {
            since: now,
            last: None,
        };
        true
    }

    /// Returns true if the checks that began at `begun` are still under way.
    pub fn is_running(
        &self,
        begun: Instant,
    ) -> bool {
        matches!(self.state, CheckState::Running { since, .. } if since == begun)
    }

    /// Handles a check that the target did not answer.
    pub fn on_unanswered(
        &mut self,
        others_heard: bool,
    ) {
        if let CheckState::Running { last, .. } = &mut self.state {
            *last = Some(UnansweredCheck { others_heard });
        }
    }

    /// Handles the answer to a check.
    pub fn on_answered(
        &mut self,
        now: Instant,
    ) {
        self.answered_at = Some(now);
        self.on_heard(now);
    }

    /// Ends the checks, as the target has sent something.
    pub fn on_heard(
        &mut self,
        now: Instant,
    ) {
        if self.is_unanswered() {
            self.heard_again_at = Some(now);
        }
        self.state = CheckState::Idle;
    }

    /// Returns true if the target has not answered the last check.
    pub fn is_unanswered(&self) -> bool {
        self.last_unanswered().is_some()
    }

    /// Returns true if the target has not answered the last check while others of its service were heard.
    pub fn is_isolated(&self) -> bool {
        let last = self.last_unanswered();
        last.is_some_and(|last| last.others_heard)
    }

    /// Returns when the target last answered a check.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Returns true if the target has answered a check lately, and later than `since`.
    pub fn is_answered_since(
        &self,
        since: Option<Instant>,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWER_TTL;
        self.answered_at > since && self.answered_at.is_some_and(is_recent)
    }

    /// Returns true if the target was unresponsive at `since` or later.
    pub fn was_unresponsive_since(
        &self,
        since: Instant,
    ) -> bool {
        self.is_unanswered() || self.heard_again_at.is_some_and(|at| at >= since)
    }

    fn last_unanswered(&self) -> Option<UnansweredCheck> {
        match self.state {
            CheckState::Idle => None,
            CheckState::Running { last, .. } => last,
        }
    }
}

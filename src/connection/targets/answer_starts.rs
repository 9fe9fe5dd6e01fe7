use {
    super::TargetIncarnation,
    crate::{clock::Instant, request::poison::PoisonKey},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// A crash within this time of the start of an answer may be due to its request; later on, any other request at the target
/// is as likely the cause, as a target that crashes does so within a tenth of a second.
pub const ANSWER_START_WINDOW: Duration = Duration::from_secs(1);

/// A target that sends something this long after the start of an answer has survived it.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// A start is forgotten if its target has sent nothing within this time that shows whether it survived.
const MAX_UNDECIDED: Duration = Duration::from_secs(4);

/// Maximum number of recorded starts.
const MAX_STARTS: usize = 1024;

/// The start of an answer to a request whose prompt shares parts with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerStart {
    pub at: Instant,
    pub incarnation: TargetIncarnation,
    /// Request id set by the caller, for logs.
    pub id: String,
    /// The customer's name, for logs.
    pub customer: Option<Arc<str>>,
    pub parts: Vec<PoisonKey>,
}

/// Recent starts of answers, whether the answers have ended since or not: a target may crash under a request right after
/// its answer was complete.
#[derive(Debug, Default)]
pub struct AnswerStarts {
    /// Oldest first.
    starts: VecDeque<AnswerStart>,
    /// Starts whose targets have answered a health check since.
    survived: Vec<AnswerStart>,
}

impl AnswerStarts {
    pub fn add(
        &mut self,
        start: AnswerStart,
    ) {
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(start);
    }

    /// Handles that an incarnation has answered a health check which began at `at`.
    pub fn on_alive(
        &mut self,
        incarnation: &TargetIncarnation,
        at: Instant,
    ) {
        let has_survived = |start: &AnswerStart| {
            start.incarnation == *incarnation && at >= start.at + SURVIVAL_TIME
        };
        let starts = std::mem::take(&mut self.starts);
        let (survived, undecided) = starts.into_iter().partition(has_survived);
        self.starts = undecided;
        self.survived.extend::<VecDeque<AnswerStart>>(survived);
    }

    /// Returns the starts that a crash of this incarnation at `lost_at` may be due to.
    pub fn before_loss(
        &self,
        incarnation: &TargetIncarnation,
        lost_at: Instant,
    ) -> impl Iterator<Item = &AnswerStart> {
        let is_recent = move |start: &&AnswerStart| {
            start.incarnation == *incarnation
                && lost_at.saturating_duration_since(start.at) < ANSWER_START_WINDOW
        };
        self.starts.iter().filter(is_recent)
    }

    /// Forgets the starts at an incarnation that has crashed.
    pub fn remove(
        &mut self,
        incarnation: &TargetIncarnation,
    ) {
        self.starts
            .retain(|start| start.incarnation != *incarnation);
    }

    /// Removes and returns the starts that their targets have survived; `last_received` returns when an incarnation last sent
    /// something.
    pub fn take_survived(
        &mut self,
        now: Instant,
        last_received: impl Fn(&TargetIncarnation) -> Option<Instant>,
    ) -> Vec<AnswerStart> {
        let mut survived = std::mem::take(&mut self.survived);
        let mut undecided = VecDeque::new();
        for start in std::mem::take(&mut self.starts) {
            let sent_until = last_received(&start.incarnation);
            if sent_until.is_some_and(|until| until >= start.at + SURVIVAL_TIME) {
                survived.push(start);
            } else if now.saturating_duration_since(start.at) < MAX_UNDECIDED {
                undecided.push_back(start);
            }
        }
        self.starts = undecided;
        survived
    }
}

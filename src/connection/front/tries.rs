use {
    super::{
        exchange::{Destination, WholeAnswer},
        request_trace::{RequestTrace, TraceStep},
    },
    crate::{
        clock::Instant,
        request::direct::{AttemptEnd, RequestHistory},
    },
    std::sync::Arc,
};

/// Samples of engines that are given up for one request, at the most.
const MAX_TAKEN_SAMPLES: u32 = 2;

/// What was tried for one request.
#[derive(Default)]
pub struct Tries {
    pub history: RequestHistory,
    /// Targets that turned it away, were not reached, or broke off.
    pub tried: Vec<String>,
    /// The last failure that a target gave as an answer.
    pub failure: Option<WholeAnswer>,
    pub trace: RequestTrace,
    /// How engines stand was asked of their holders.
    pub query: Option<QueryRound>,
    /// Samples of engines that were found taken.
    taken_samples: u32,
}

/// Engines whose holders were asked how they stand.
pub struct QueryRound {
    pub targets: Vec<Arc<str>>,
    pub since: Instant,
}

impl Tries {
    /// A send ended without an answer that can be passed on.
    pub fn note_end(
        &mut self,
        destination: &Destination,
        end: AttemptEnd,
        now: Instant,
    ) {
        self.history.record(end);
        self.query = None;
        let target = destination.target.clone();
        let step = match end {
            AttemptEnd::NotSent => TraceStep::NotReached { target },
            AttemptEnd::NotRun { status, .. } => TraceStep::TurnedAway { target, status },
            AttemptEnd::Failed { status } => TraceStep::FailedThere { target, status },
            AttemptEnd::Lost => TraceStep::Lost { target },
        };
        self.trace.add(step, now);
    }

    /// Gives up the sample of engines that was asked; false if that was done too often, or if the
    /// request was not restricted to a sample.
    pub fn draws_again(&mut self) -> bool {
        if self.query.is_none() || self.taken_samples >= MAX_TAKEN_SAMPLES {
            return false;
        }
        self.query = None;
        self.taken_samples += 1;
        true
    }

    /// True if this target is not to be tried again.
    pub fn has_tried(
        &self,
        target: &str,
    ) -> bool {
        self.tried.iter().any(|tried| tried == target)
    }
}

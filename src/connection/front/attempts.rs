use {
    super::{
        destination::Destination,
        request_trace::{RequestTrace, TraceStep},
        target_answer::CompleteAnswer,
    },
    crate::{
        clock::Instant,
        connection::targets::RemainingTime,
        request::{
            direct::{AttemptEnd, EngineOutlook, PromptChain, RequestHistory},
            origins::RequiredSoftware,
            pace::PaceEstimate,
        },
    },
    std::sync::Arc,
};

/// Maximum number of samples of engines that a request discards because all of them are busy.
const MAX_DISCARDED_SAMPLES: u32 = 2;

/// What was known of the version of a request's adapter when its answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionAtStart {
    pub newest: u64,
    /// Time until requests may no longer begin on the version that the target runs.
    pub remaining: RemainingTime,
}

/// Attempts to serve one request.
#[derive(Default)]
pub struct Attempts {
    pub history: RequestHistory,
    /// Targets that rejected it, were not reached, lost the connection, or did not begin it in time.
    pub tried: Vec<String>,
    /// Targets that it is not sent to, even if no other takes it.
    pub excluded: Vec<String>,
    /// Last answer with a server error.
    pub failure: Option<CompleteAnswer>,
    /// No other host has taken it.
    pub forwarding_failed: bool,
    pub trace: RequestTrace,
    /// Version of the software that a target must run.
    pub software: RequiredSoftware,
    /// Last query of engines' status.
    pub query: Option<QueryRound>,
    /// Estimate by which the target of the last send was chosen.
    pub estimate: Option<PaceEstimate>,
    /// `None` for requests without an adapter, and before an answer has begun.
    pub version_at_start: Option<VersionAtStart>,
    /// A send was cancelled, as its version of the adapter could no longer serve.
    pub was_cancelled: bool,
    /// Discarded samples of engines.
    discarded_samples: u32,
    /// Since when no holder has confirmed a load that the request waits for.
    unconfirmed_since: Option<Instant>,
}

/// Engines whose holders were queried, and the time of the query.
pub struct QueryRound {
    pub targets: Vec<Arc<str>>,
    pub since: Instant,
    /// Prompt that the holders were asked about.
    pub prompt: Option<PromptChain>,
    /// Engines that rank first for the prompt's leading parts, the first one first.
    pub first_by_prompt: Vec<Arc<str>>,
}

impl Attempts {
    /// Records a send without an answer that can be relayed.
    pub fn record_end(
        &mut self,
        destination: &Destination,
        end: AttemptEnd,
        now: Instant,
    ) {
        self.history.record(end);
        self.was_cancelled |= end == AttemptEnd::Cancelled;
        self.query = None;
        self.unconfirmed_since = None;
        let target = destination.target.clone();
        let step = match end {
            // It has a line of its own.
            AttemptEnd::Cancelled => return,
            AttemptEnd::NotSent => TraceStep::Unreachable { target },
            AttemptEnd::NotRun { status, .. } => TraceStep::Rejected { target, status },
            AttemptEnd::Failed { status } => TraceStep::Failed { target, status },
            AttemptEnd::Lost | AttemptEnd::Refused => TraceStep::AnswerLost { target },
        };
        self.trace.add(step, now);
    }

    /// Returns the attempts beside one that still goes on, for which `lost` counts it as lost.
    pub fn beside(
        &self,
        lost: RequestHistory,
    ) -> Self {
        Self {
            history: lost,
            tried: self.tried.clone(),
            forwarding_failed: self.forwarding_failed,
            software: self.software,
            was_cancelled: self.was_cancelled,
            ..Self::default()
        }
    }

    /// Adds attempts that were made beside one that still went on; they began with the history `lost`.
    pub fn end_hedge(
        &mut self,
        beside: Self,
        lost: &RequestHistory,
    ) {
        let more = beside.history.since(lost);
        self.history.runs += more.runs;
        self.history.arrivals += more.arrivals;
        self.estimate = beside.estimate.or(self.estimate);
        self.was_cancelled |= beside.was_cancelled;
        self.version_at_start = beside.version_at_start.or(self.version_at_start);
        self.trace.append(beside.trace);
    }

    /// Discards the sample of engines; returns false if that was done too often, or if there is no sample.
    pub fn discard_sample(&mut self) -> bool {
        if self.query.is_none() || self.discarded_samples >= MAX_DISCARDED_SAMPLES {
            return false;
        }
        self.query = None;
        self.discarded_samples += 1;
        true
    }

    /// Returns since when no holder has confirmed a load that the request waits for, given the present outlook.
    pub fn unconfirmed_since(
        &mut self,
        outlook: &EngineOutlook,
        now: Instant,
    ) -> Instant {
        match outlook {
            EngineOutlook::Confirmed { .. } => {
                self.unconfirmed_since = None;
                now
            }
            _ => *self.unconfirmed_since.get_or_insert(now),
        }
    }

    /// Returns the prompt that holders were asked about last.
    pub fn queried_prompt(&self) -> Option<&PromptChain> {
        self.query.as_ref()?.prompt.as_ref()
    }

    /// Returns the rank of an engine for the prompt's leading parts, 0 for the first one; `None` for engines that do
    /// not rank among the first.
    pub fn prompt_rank(
        &self,
        target: &str,
    ) -> Option<usize> {
        let first = &self.query.as_ref()?.first_by_prompt;
        first.iter().position(|engine| **engine == *target)
    }

    /// Returns true if the request is never sent to this target.
    pub fn has_excluded(
        &self,
        target: &str,
    ) -> bool {
        self.excluded.iter().any(|excluded| excluded == target)
    }

    /// Returns true if this target is not to be tried again.
    pub fn has_tried(
        &self,
        target: &str,
    ) -> bool {
        self.tried.iter().any(|tried| tried == target) || self.has_excluded(target)
    }
}

use {super::AttemptEnd, crate::version::routing::Route};

/// Counts of the attempts made for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestHistory {
    /// Attempts that ran or may have run.
    pub runs: u32,
    /// Attempts that reached a target, including rejected ones.
    pub arrivals: u32,
}

impl RequestHistory {
    /// Returns the attempts beyond an earlier state of the history.
    pub fn since(
        &self,
        earlier: &Self,
    ) -> Self {
        let runs = self.runs - earlier.runs;
        Self {
            runs,
            // A run whose end is not known yet has not been counted as arrived.
            arrivals: runs.max(self.arrivals - earlier.arrivals),
        }
    }

    /// Records how an attempt ended.
    pub fn record(
        &mut self,
        end: AttemptEnd,
    ) {
        match end {
            AttemptEnd::NotSent => {}
            AttemptEnd::NotRun { .. } => self.arrivals += 1,
            AttemptEnd::Failed { .. }
            | AttemptEnd::Lost
            | AttemptEnd::Cancelled
            | AttemptEnd::Refused => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Choose a target again; `repeats` is true if the attempt is charged to the retry budget.
    Resend { repeats: bool },
    /// Answer that the request has not run.
    Reject,
    /// Forward the error that the target answered with.
    ForwardFailure,
    /// Answer that the outcome is unknown.
    OutcomeUnknown,
}

/// Attempts per request that reach a target.
const MAX_ARRIVALS: u32 = 8;

/// Decides what to do after a failed attempt.
///
/// A request that may have run is sent again only if its route allows requests to run more than once.
pub fn next_step(
    route: &Route,
    history: &RequestHistory,
    end: AttemptEnd,
    budget_left: bool,
) -> NextStep {
    let repeats = history.arrivals > 0;
    let can_resend = !repeats || budget_left;
    let attempts_exhausted = history.runs >= route.max_attempts || history.arrivals >= MAX_ARRIVALS;
    match end {
        AttemptEnd::NotSent => NextStep::Resend { repeats },
        AttemptEnd::NotRun { .. } if history.runs > 0 && (attempts_exhausted || !can_resend) => {
            NextStep::OutcomeUnknown
        }
        AttemptEnd::NotRun { .. } if attempts_exhausted || !can_resend => NextStep::Reject,
        AttemptEnd::NotRun { .. } => NextStep::Resend { repeats },
        AttemptEnd::Failed { .. }
        | AttemptEnd::Lost
        | AttemptEnd::Cancelled
        | AttemptEnd::Refused
            if route.repeatable() && !attempts_exhausted && can_resend =>
        {
            NextStep::Resend { repeats }
        }
        AttemptEnd::Failed { .. } => NextStep::ForwardFailure,
        AttemptEnd::Lost | AttemptEnd::Cancelled | AttemptEnd::Refused => NextStep::OutcomeUnknown,
    }
}

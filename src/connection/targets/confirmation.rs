use {crate::clock::Instant, std::time::Duration};

/// Time from the last look at the age of a belief until the request that rests on it has reached its
/// target, at the most. A host looks right before it writes the request to an open connection; the
/// rest is the way there (some milliseconds) and the other host's or this one's wait for a processor.
pub const SEND_MARGIN: Duration = Duration::from_millis(200);

/// How well one table's copy is known to be right.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableConfirmation {
    /// The copy was last known to be right at this time; `None` before the first read.
    pub right_at: Option<Instant>,
    /// This host has asked the store since then, and it did not answer.
    pub store_failed: bool,
}

impl TableConfirmation {
    /// Time since the copy was known to be right.
    pub fn age(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        self.right_at.map(|at| now.saturating_duration_since(at))
    }

    /// True if a request may be sent on it: it is young enough to arrive within `bound`, or nothing
    /// newer can be had.
    pub fn allows_sends(
        &self,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let is_young = |age| age + SEND_MARGIN <= bound;
        self.store_failed || self.age(now).is_none_or(is_young)
    }
}

/// How well the tables that requests rest on are known to be right.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// What operators declare.
    pub declared: TableConfirmation,
    /// What targets record of themselves.
    pub targets: TableConfirmation,
}

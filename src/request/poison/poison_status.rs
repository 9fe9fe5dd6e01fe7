/// The status of a request whose targets have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoisonStatus {
    /// Served, but not retried, as other requests may have caused the crashes.
    Suspected,
    /// No longer sent to any target.
    Rejected,
}

impl PoisonStatus {
    /// Returns the status as written to logs and metrics; `None` is that of a request without evidence against it.
    pub fn word(standing: Option<Self>) -> &'static str {
        match standing {
            None => "cleared",
            Some(Self::Suspected) => "suspected",
            Some(Self::Rejected) => "refused",
        }
    }
}

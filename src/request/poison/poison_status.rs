/// The status of a key under which targets have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoisonStatus {
    /// Served, as others may have caused the crashes; a request is not retried by its host.
    Suspected,
    /// No longer sent to any target.
    Rejected,
}

impl PoisonStatus {
    /// Returns the status as written to logs and metrics; `None` is that of a key without evidence against it.
    pub fn word(standing: Option<Self>) -> &'static str {
        match standing {
            None => "cleared",
            Some(Self::Suspected) => "suspected",
            Some(Self::Rejected) => "refused",
        }
    }
}

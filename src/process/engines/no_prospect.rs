/// Why an engine's holder promises no load of an adapter that a host asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoProspect {
    /// There is a copy elsewhere, and the weight store has too much to do for another.
    StoreBusy,
    /// What was promised before has not come true.
    Overdue,
    /// So many loads wait that this one would come too late.
    LongQueue,
    /// What the engine holds is not known yet.
    Unknown,
    /// The engine does not hold the adapter's base model.
    NoModel,
    /// The engine carries an order out and takes no other.
    EngineBusy,
    /// The engine leaves orders unanswered.
    Unresponsive,
    /// All its places are taken by adapters in use.
    NoPlace,
}

impl NoProspect {
    /// The reason in logs and figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::StoreBusy => "store_busy",
            Self::Overdue => "overdue",
            Self::LongQueue => "long_queue",
            Self::Unknown => "unknown",
            Self::NoModel => "no_model",
            Self::EngineBusy => "engine_busy",
            Self::Unresponsive => "unresponsive",
            Self::NoPlace => "no_place",
        }
    }
}

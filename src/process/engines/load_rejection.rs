/// Reason for which an engine's holder rejects a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadRejection {
    /// Another engine holds a copy, and the weight store is too busy for one more.
    StoreBusy,
    /// The load has not completed when it was promised.
    Overdue,
    /// The queue is so long that the load would complete too late.
    QueueTooLong,
    /// The engine's state is not known yet.
    StateUnknown,
    /// The engine does not hold the adapter's base model.
    NoBaseModel,
    /// The engine is carrying out an order and rejects others.
    EngineBusy,
    /// The engine leaves orders unanswered.
    Unresponsive,
    /// All slots are taken by adapters in use.
    NoFreeSlot,
}

impl LoadRejection {
    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::StoreBusy => "store_busy",
            Self::Overdue => "overdue",
            Self::QueueTooLong => "long_queue",
            Self::StateUnknown => "unknown",
            Self::NoBaseModel => "no_model",
            Self::EngineBusy => "engine_busy",
            Self::Unresponsive => "unresponsive",
            Self::NoFreeSlot => "no_place",
        }
    }
}

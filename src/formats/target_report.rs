use super::{HeldModel, TargetStart};

/// What an engine says of itself when asked, some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Which start of the engine reports; `None` where the platform gives each start an id of its own.
    pub started: Option<TargetStart>,
    pub models: Vec<HeldModel>,
    /// Adapters on their way: base model, name, version.
    pub coming: Vec<(String, String, u64)>,
    /// Base models that need not come from the weight store.
    pub at_hand: Vec<String>,
    /// An order is under way beside which the engine takes no other.
    pub busy: bool,
    /// Orders taken since its start.
    pub sequence: u64,
    pub waiting: u32,
    pub running: u32,
    pub memory_used: u64,
    pub memory_total: u64,
}

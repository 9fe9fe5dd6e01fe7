use super::{LoadedModel, TargetStart};

/// An engine's report of its state; may be some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Incarnation of the engine; `None` if the platform assigns a new id to each incarnation.
    pub started: Option<TargetStart>,
    pub models: Vec<LoadedModel>,
    /// Adapters being loaded: base model, name, version.
    pub loading: Vec<(String, String, u64)>,
    /// Base models cached at the engine, which load without the weight store.
    pub local_models: Vec<String>,
    /// An order is in progress; the engine accepts no other until it ends.
    pub busy: bool,
    /// Number of orders accepted in this incarnation.
    pub sequence: u64,
    pub waiting: u32,
    pub running: u32,
    pub memory_used: u64,
    pub memory_total: u64,
}

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Capacity of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Base model of all adapters that the engine can load.
    pub base_model: String,
    /// Maximum number of loaded adapters.
    pub adapter_slots: usize,
    /// Maximum number of requests in one batch.
    pub batch_slots: usize,
}

/// Role of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetRole {
    Engine(EngineSpec),
    /// A plain service: its name and the maximum number of concurrent calls.
    Plain {
        service: String,
        calls: usize,
    },
}

/// A back end: a model engine or a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetSpec {
    pub address: SocketAddr,
    pub hall: String,
    pub role: TargetRole,
    /// The target rejects orders that have an outdated fence.
    pub checks_fences: bool,
    /// The target is draining: it finishes its requests and gets no new ones.
    #[serde(default)]
    pub leaving: bool,
}

impl TargetSpec {
    /// Returns the capacity of a model engine; `None` for a plain service.
    pub fn engine(&self) -> Option<&EngineSpec> {
        match &self.role {
            TargetRole::Engine(engine) => Some(engine),
            TargetRole::Plain { .. } => None,
        }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn max_concurrency(&self) -> usize {
        match &self.role {
            TargetRole::Engine(engine) => engine.batch_slots,
            TargetRole::Plain { calls, .. } => *calls,
        }
    }
}

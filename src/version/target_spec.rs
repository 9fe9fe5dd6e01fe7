use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a model engine can hold and run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Base model that the engine's adapters must be made for.
    pub base_model: String,
    /// Adapters held at once.
    pub adapter_slots: usize,
    /// Requests batched at once.
    pub batch_slots: usize,
}

/// What a target is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetRole {
    /// A model engine.
    Engine(EngineSpec),
    /// A plain service: the service's name and the calls that it bears at once.
    Plain { service: String, calls: usize },
}

/// A back end: a model engine or a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Where the target listens.
    pub address: SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
    /// What it is for.
    pub role: TargetRole,
    /// Whether the target refuses orders that bear an old fence.
    pub checks_fences: bool,
    /// A leaving target finishes what it has and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl TargetSpec {
    /// The engine's sizes, for a model engine.
    pub fn engine(&self) -> Option<&EngineSpec> {
        match &self.role {
            TargetRole::Engine(engine) => Some(engine),
            TargetRole::Plain { .. } => None,
        }
    }

    /// Requests that the target bears at once.
    pub fn max_running(&self) -> usize {
        match &self.role {
            TargetRole::Engine(engine) => engine.batch_slots,
            TargetRole::Plain { calls, .. } => *calls,
        }
    }
}

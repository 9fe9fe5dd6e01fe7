use super::EngineSpec;

/// A service that routes lead to: many targets of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetService {
    pub name: String,
    /// Path of a target's health check.
    pub health_path: String,
    /// Connections that one target takes from all callers together.
    pub max_connections: usize,
    /// Set for model engines, absent for plain services.
    pub engine: Option<EngineSpec>,
}

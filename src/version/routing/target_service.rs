use super::EngineSpec;

/// A service that routes refer to: a group of targets of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetService {
    pub name: String,
    /// Path of a target's health check.
    pub health_path: String,
    /// Maximum number of connections to one target, from all callers together.
    pub max_connections: usize,
    /// Capacity of each engine; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

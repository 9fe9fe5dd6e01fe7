use {
    crate::errors::PlatformError,
    serde::{Deserialize, Serialize},
};

/// What the weight store says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightStoreHealth {
    /// False while no load can succeed.
    pub up: bool,
    /// Loads a second at full speed.
    pub loads_per_second: f64,
    /// Loads that run now.
    pub loading: u32,
}

/// The store that engines load weights from; coveproxy only asks how it does.
pub trait WeightStore: Send + Sync {
    fn health(&self) -> Result<WeightStoreHealth, PlatformError>;
}

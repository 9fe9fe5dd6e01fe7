use std::time::Duration;

/// A base model that the engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    pub name: String,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time to load its weights from the weight store when no other load is running.
    pub load_time: Duration,
}

/// Capacity of one engine of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    pub models: Vec<BaseModel>,
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Maximum number of prompt and answer tokens in memory.
    pub memory_tokens: u64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Maximum number of loaded adapters, including those being loaded.
    pub adapter_slots: usize,
    /// Weight loads per second that the weight store allows, over all engines.
    pub loads_per_second: f64,
}

impl EngineSpec {
    pub fn model(
        &self,
        name: &str,
    ) -> Option<&BaseModel> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the number of adapters that fit into memory beside a base model.
    pub fn adapter_capacity(
        &self,
        model: &BaseModel,
    ) -> usize {
        let left = self.weights_mb - model.weights_mb;
        if left < 0.0 {
            return 0;
        }
        if model.adapter_mb <= 0.0 {
            return self.adapter_slots;
        }
        self.adapter_slots.min((left / model.adapter_mb) as usize)
    }
}

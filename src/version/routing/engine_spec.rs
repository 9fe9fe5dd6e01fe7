use std::time::Duration;

/// A base model that the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    pub name: String,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time to load its weights from the weight store, alone.
    pub load_time: Duration,
}

/// What one engine of a service can hold and run.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    pub models: Vec<BaseModel>,
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens of prompts and answers in memory.
    pub memory_tokens: u64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Adapters held at once, those on their way included.
    pub adapter_slots: usize,
    /// Loads of weights that the weight store allows in a second, over all engines.
    pub loads_per_second: f64,
}

impl EngineSpec {
    /// The base model of that name.
    pub fn model(
        &self,
        name: &str,
    ) -> Option<&BaseModel> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Adapters that fit beside one base model.
    pub fn adapter_room(
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

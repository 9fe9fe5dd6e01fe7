use {
    crate::version::AdapterVersion,
    serde::{Deserialize, Serialize},
};

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Execution {
    pub request_id: String,
    /// The caller's idempotency key; empty when none was sent.
    pub key: String,
    pub model: AdapterVersion,
    /// Tokens generated.
    pub tokens: u64,
    /// True once the last token is out.
    pub finished: bool,
    pub cancelled: bool,
}

/// What an engine has done, for checks from outside.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    pub executions: Vec<Execution>,
    /// Adapters that were unloaded while a request used them.
    pub unloaded_in_use: u32,
    /// Orders refused for an old fence.
    pub fenced_off: u32,
    pub loads: u64,
    pub unloads: u64,
    /// Integral of requests in the batch over time, in milliseconds.
    pub busy_slot_ms: f64,
    /// Time in which at least one request was in the batch, in milliseconds.
    pub busy_ms: f64,
    pub batch_slots: usize,
}

impl EngineRecord {
    /// Share of the batch that was filled while the engine ran at all.
    pub fn batch_efficiency(&self) -> f64 {
        let room = self.busy_ms * self.batch_slots as f64;
        match room > 0.0 {
            true => self.busy_slot_ms / room,
            false => 0.0,
        }
    }
}

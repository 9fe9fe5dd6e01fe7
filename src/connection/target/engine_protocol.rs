//! The messages of a model engine's own interface, beside the OpenAI-compatible one.

use {
    crate::version::AdapterVersion,
    serde::{Deserialize, Serialize},
};

/// Names the request to the target, which echoes it on its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The `adapter@version` that produced an engine's answer.
pub const SERVED_MODEL_HEADER: &str = "x-served-model";

/// The caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The engine's priority for the request; higher runs first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// The sender's fence; a target that checks refuses what bears an old one.
pub const FENCE_HEADER: &str = "x-fence";

/// On a refusal: the request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// State of an adapter on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterState {
    Loading,
    Ready,
}

/// One adapter as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    pub model: AdapterVersion,
    pub state: AdapterState,
    /// Requests that use it, running or waiting in the engine.
    pub running: u32,
}

/// `GET /engine/state`: what an engine held a moment ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Changes when the engine starts anew, empty.
    pub boot: u64,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    pub base_model: String,
    pub role: String,
    pub running: u32,
    pub waiting: u32,
    /// Highest fence that an order has raised.
    pub fence: u64,
    pub adapters: Vec<AdapterReport>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum EngineOrder {
    /// Only raises the fence.
    Raise,
    LoadAdapter {
        model: AdapterVersion,
    },
    UnloadAdapter {
        model: AdapterVersion,
    },
    LoadModel {
        base_model: String,
    },
    SetRole {
        role: String,
    },
}

/// `POST /engine/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    pub fence: u64,
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// A prompt prefix that an engine stored in its cache, or evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub sequence: u64,
    pub prefix: u64,
    pub stored: bool,
}

/// KV cache of a running request, to be imported elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    pub model: AdapterVersion,
    pub prefix: u64,
    pub tokens: u64,
}

use {
    super::TargetStart,
    std::{net::SocketAddr, time::Duration},
};

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    /// Draining: the target finishes its requests and accepts no new ones.
    Draining,
}

/// An adapter that is loaded in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedAdapter {
    pub name: String,
    pub version: u64,
}

/// A base model that is loaded in an engine, with its loaded adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    pub name: String,
    pub adapters: Vec<LoadedAdapter>,
}

/// The last registration of a target in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Target id; may stay the same when the target restarts.
    pub id: String,
    /// Incarnation of the target; `None` if the platform assigns a new id to each incarnation.
    pub started: Option<TargetStart>,
    pub service: String,
    pub address: SocketAddr,
    pub hall: String,
    pub slots: u32,
    pub state: TargetState,
    /// Time until the platform shuts the target down, if it was announced.
    pub remaining: Option<Duration>,
    pub models: Vec<LoadedModel>,
    /// True if the engine reports that no base model is loaded, false if it does not report its models.
    pub is_empty: bool,
}

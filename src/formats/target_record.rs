use {
    super::{SoftwareVersion, TargetStart},
    std::{net::SocketAddr, time::Duration},
};

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    /// It leaves: it serves on for a while, and takes nothing new.
    Leaving,
}

/// An adapter that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAdapter {
    pub name: String,
    pub version: u64,
}

/// A base model that an engine holds, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    pub name: String,
    pub adapters: Vec<HeldAdapter>,
}

/// What a target last said of itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Names the target; it may start again under it.
    pub id: String,
    /// Which start of the target this is; `None` where the platform gives each start an id of its own.
    pub started: Option<TargetStart>,
    pub service: String,
    /// Streams go on only at the version that began them.
    pub software: SoftwareVersion,
    pub address: SocketAddr,
    pub hall: String,
    pub slots: u32,
    pub state: TargetState,
    /// Time that is left to a target that is taken away at short notice.
    pub remaining: Option<Duration>,
    pub models: Vec<HeldModel>,
    /// It says that it holds no base model; an engine that is silent about its models may hold some.
    pub is_empty: bool,
}

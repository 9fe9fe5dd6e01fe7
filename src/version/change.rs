use {
    super::{AdapterVersion, KindSpec, OutfitterSpec, ServiceSpec, TargetSpec},
    serde::{Deserialize, Serialize},
};

/// One declared change; a revision holds one or more, accepted or refused as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Declares adapter versions for a base model.
    DeclareAdapters {
        base_model: String,
        versions: Vec<AdapterVersion>,
    },
    /// Retires one adapter version.
    RetireAdapter { version: AdapterVersion },
    /// Sets or replaces a kind.
    SetKind { name: String, spec: KindSpec },
    /// Sets or replaces a service.
    SetService { name: String, spec: ServiceSpec },
    /// Removes a service.
    RemoveService { name: String },
    /// Sets or replaces a target.
    SetTarget { name: String, spec: TargetSpec },
    /// Removes a target that has left.
    RemoveTarget { name: String },
    /// Sets or replaces an outfitter.
    SetOutfitter { name: String, spec: OutfitterSpec },
    /// Marks a target as leaving, or takes the mark back.
    SetLeaving { target: String, leaving: bool },
}

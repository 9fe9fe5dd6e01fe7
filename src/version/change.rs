use {
    super::{AdapterVersion, KindSpec, OutfitterSpec, ServiceSpec, TargetSpec},
    serde::{Deserialize, Serialize},
};

/// A change to the configuration; a revision has one or more, which are accepted or rejected together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Declares adapter versions for a base model.
    DeclareAdapters {
        base_model: String,
        versions: Vec<AdapterVersion>,
    },
    RetireAdapter {
        version: AdapterVersion,
    },
    /// Sets or replaces a kind.
    SetKind {
        name: String,
        spec: KindSpec,
    },
    /// Sets or replaces a service.
    SetService {
        name: String,
        spec: ServiceSpec,
    },
    RemoveService {
        name: String,
    },
    /// Sets or replaces a target.
    SetTarget {
        name: String,
        spec: TargetSpec,
    },
    /// Removes a target.
    RemoveTarget {
        name: String,
    },
    /// Sets or replaces an outfitter.
    SetOutfitter {
        name: String,
        spec: OutfitterSpec,
    },
    /// Sets or clears the draining state of a target.
    SetLeaving {
        target: String,
        leaving: bool,
    },
}

//! What lives for a configuration revision: declared things, changes and their store.

mod adapter_version;
mod change;
mod config_store;
mod kind_spec;
mod outfitter_spec;
mod revision_body;
pub mod routing;
mod service_spec;
mod site_config;
mod target_spec;

pub use {
    adapter_version::AdapterVersion,
    change::Change,
    config_store::{CONFIG_HEAD_KEY, ConfigHead, ConfigStore},
    kind_spec::KindSpec,
    outfitter_spec::OutfitterSpec,
    revision_body::{RevisionBody, RevisionContent},
    service_spec::{KeyHash, ServiceSpec},
    site_config::SiteConfig,
    target_spec::{EngineSpec, TargetRole, TargetSpec},
};

//! Which targets may serve a request, the preferred one first; computed alike on every host.

use {
    crate::{
        process::ownership::rank,
        version::{AdapterVersion, SiteConfig, TargetRole},
    },
    std::cmp::Reverse,
};

/// Engines for an adapter version: those of its base model that stay, by rank.
pub fn engine_candidates(
    config: &SiteConfig,
    model: &AdapterVersion,
) -> Vec<String> {
    let Some(base) = config.base_model(model) else {
        return Vec::new();
    };
    let fits = |role: &TargetRole| match role {
        TargetRole::Engine(engine) => engine.base_model == base,
        TargetRole::Plain { .. } => false,
    };
    candidates(config, model.adapter(), fits)
}

/// Targets of a plain service that stay, by rank for `key`.
pub fn plain_candidates(
    config: &SiteConfig,
    service: &str,
    key: &str,
) -> Vec<String> {
    let fits = |role: &TargetRole| match role {
        TargetRole::Engine(_) => false,
        TargetRole::Plain { service: named, .. } => named == service,
    };
    candidates(config, key, fits)
}

fn candidates(
    config: &SiteConfig,
    item: &str,
    fits: impl Fn(&TargetRole) -> bool,
) -> Vec<String> {
    let mut found: Vec<&String> = config
        .targets
        .iter()
        .filter(|(_, spec)| !spec.leaving && fits(&spec.role))
        .map(|(name, _)| name)
        .collect();
    found.sort_by_cached_key(|name| Reverse(rank(item, name)));
    found.into_iter().cloned().collect()
}

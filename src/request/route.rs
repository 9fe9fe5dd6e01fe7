//! Which targets may serve a request, the preferred one first; computed alike on every host.

use {
    crate::{
        process::ownership::rank,
        version::{AdapterVersion, SiteConfig, TargetRole},
    },
    std::cmp::Reverse,
};

/// Targets that one request may try; more than it ever does.
const MOST: usize = 8;

/// Engines for an adapter version: the best of its base model that stay, by rank.
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

/// Targets of a plain service: the best that stay, by rank for `key`.
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
    let mut ranked: Vec<(Reverse<u64>, &String)> = config
        .targets
        .iter()
        .filter(|(_, spec)| !spec.leaving && fits(&spec.role))
        .map(|(name, _)| (Reverse(rank(item, name)), name))
        .collect();
    // Only the front is wanted in order, which matters with hundreds of engines.
    if ranked.len() > MOST {
        ranked.select_nth_unstable(MOST);
        ranked.truncate(MOST);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

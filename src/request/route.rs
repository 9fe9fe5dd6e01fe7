//! Candidate targets of a request in order of preference, computed identically on every host.

use {
    crate::{
        process::ownership::rank,
        version::{AdapterVersion, SiteConfig, TargetRole},
    },
    std::cmp::Reverse,
};

/// Candidate targets per request.
const MAX_CANDIDATES: usize = 8;

/// Returns the engines for an adapter version: those of its base model that are not leaving, by rank.
pub fn engine_candidates(
    config: &SiteConfig,
    model: &AdapterVersion,
) -> Vec<String> {
    let Some(base) = config.base_model(model) else {
        return Vec::new();
    };
    let serves = |role: &TargetRole| match role {
        TargetRole::Engine(engine) => engine.base_model == base,
        TargetRole::Plain { .. } => false,
    };
    candidates(config, model.adapter(), serves)
}

/// Returns the targets of a plain service that are not leaving, by rank for `key`.
pub fn plain_candidates(
    config: &SiteConfig,
    service: &str,
    key: &str,
) -> Vec<String> {
    let serves = |role: &TargetRole| match role {
        TargetRole::Engine(_) => false,
        TargetRole::Plain { service: named, .. } => named == service,
    };
    candidates(config, key, serves)
}

fn candidates(
    config: &SiteConfig,
    item: &str,
    serves: impl Fn(&TargetRole) -> bool,
) -> Vec<String> {
    let mut ranked: Vec<(Reverse<u64>, &String)> = config
        .targets
        .iter()
        .filter(|(_, spec)| !spec.leaving && serves(&spec.role))
        .map(|(name, _)| (Reverse(rank(item, name)), name))
        .collect();
    // Sort only the candidates that are returned, as there may be hundreds of engines.
    if ranked.len() > MAX_CANDIDATES {
        ranked.select_nth_unstable(MAX_CANDIDATES);
        ranked.truncate(MAX_CANDIDATES);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

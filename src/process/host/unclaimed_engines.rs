use {
    crate::process::hosts::HostTable,
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
    },
};

/// Assignment keys by engine id.
type Engines = Arc<BTreeMap<String, String>>;

/// Cache of the engines that no other reachable host claims, rebuilt when engines, hosts or claims change.
#[derive(Debug, Default)]
pub struct UnclaimedEngines {
    cached_for: Option<CacheKey>,
    engines: Engines,
}

/// Cache key: the inputs of the last computation.
#[derive(Debug)]
struct CacheKey {
    engines: Engines,
    epoch: u64,
}

impl UnclaimedEngines {
    /// Returns the unclaimed ones of `engines`.
    pub fn unclaimed_among(
        &mut self,
        engines: &Engines,
        hosts: &HostTable,
    ) -> Engines {
        let epoch = hosts.holders_epoch();
        let is_same = |key: &CacheKey| key.epoch == epoch && Arc::ptr_eq(&key.engines, engines);
        if !self.cached_for.as_ref().is_some_and(is_same) {
            self.engines = Arc::new(unclaimed(engines, hosts));
            self.cached_for = Some(CacheKey {
                engines: engines.clone(),
                epoch,
            });
        }
        self.engines.clone()
    }
}

fn unclaimed(
    engines: &BTreeMap<String, String>,
    hosts: &HostTable,
) -> BTreeMap<String, String> {
    let up = hosts.hosts().filter(|host| host.state.is_up());
    let claimed: HashSet<&str> = up
        .flat_map(|host| &host.holds)
        .map(String::as_str)
        .collect();
    let unclaimed = engines
        .iter()
        .filter(|(target, _)| !claimed.contains(target.as_str()));
    unclaimed
        .map(|(target, key)| (target.clone(), key.clone()))
        .collect()
}

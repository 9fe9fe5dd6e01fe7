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
    of: Option<Seen>,
    open: Engines,
}

/// Cache key: the inputs of the last computation.
#[derive(Debug)]
struct Seen {
    engines: Engines,
    epoch: u64,
}

impl UnclaimedEngines {
    /// Returns the unclaimed ones of `engines`.
    pub fn among(
        &mut self,
        engines: &Engines,
        hosts: &HostTable,
    ) -> Engines {
        let epoch = hosts.holds_epoch();
        let is_same = |seen: &Seen| seen.epoch == epoch && Arc::ptr_eq(&seen.engines, engines);
        if !self.of.as_ref().is_some_and(is_same) {
            self.open = Arc::new(unclaimed(engines, hosts));
            self.of = Some(Seen {
                engines: engines.clone(),
                epoch,
            });
        }
        self.open.clone()
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
    let open = engines
        .iter()
        .filter(|(target, _)| !claimed.contains(target.as_str()));
    open.map(|(target, key)| (target.clone(), key.clone()))
        .collect()
}

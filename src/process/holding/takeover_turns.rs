use {
    crate::process::ownership::rank,
    std::{net::SocketAddr, time::Duration},
};

/// Order in which hosts may take vacant engines.
///
/// Caches the hosts' names, which are ranked for each vacant engine.
pub(super) struct TakeoverTurns<'a> {
    local_host: Option<String>,
    takers: &'a [SocketAddr],
    names: Vec<String>,
    interval: Duration,
}

impl<'a> TakeoverTurns<'a> {
    /// Gives each host in the order a time of `interval` before the next one may take an engine.
    pub fn new(
        local_host: SocketAddr,
        takers: &'a [SocketAddr],
        interval: Duration,
    ) -> Self {
        Self {
            local_host: takers.contains(&local_host).then(|| local_host.to_string()),
            takers,
            names: Vec::new(),
            interval,
        }
    }

    /// Returns true if this host may take the engine with this key, which has been vacant for `vacant`.
    ///
    /// Stops counting preferred hosts once more are found than have had their turns.
    pub fn can_take(
        &mut self,
        key: &str,
        vacant: Duration,
    ) -> bool {
        let Some(local_host) = &self.local_host else {
            return false;
        };
        if self.names.is_empty() {
            self.names = self.takers.iter().map(SocketAddr::to_string).collect();
        }
        let elapsed_turns = vacant.as_nanos() / self.interval.as_nanos().max(1);
        let elapsed_turns = usize::try_from(elapsed_turns).unwrap_or(usize::MAX);
        let local_rank = rank(key, local_host);
        let preferred = self
            .names
            .iter()
            .filter(|host| rank(key, host) > local_rank);
        preferred.take(elapsed_turns.saturating_add(1)).count() <= elapsed_turns
    }
}

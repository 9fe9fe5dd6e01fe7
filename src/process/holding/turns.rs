use {
    crate::process::ownership::rank,
    std::{net::SocketAddr, time::Duration},
};

/// Order in which hosts may take vacant engines.
///
/// Caches the hosts' names, which are ranked for each vacant engine.
pub(super) struct Turns<'a> {
    me: Option<String>,
    takers: &'a [SocketAddr],
    words: Vec<String>,
    turn: Duration,
}

impl<'a> Turns<'a> {
    /// Gives each host in the order a time of `turn` before the next one may take an engine.
    pub fn new(
        me: SocketAddr,
        takers: &'a [SocketAddr],
        turn: Duration,
    ) -> Self {
        Self {
            me: takers.contains(&me).then(|| me.to_string()),
            takers,
            words: Vec::new(),
            turn,
        }
    }

    /// Returns true if this host may take the engine with this key, which has been vacant for `vacant`.
    ///
    /// Stops counting preferred hosts once more are found than have had their turns.
    pub fn has_come(
        &mut self,
        key: &str,
        vacant: Duration,
    ) -> bool {
        let Some(me) = &self.me else {
            return false;
        };
        if self.words.is_empty() {
            self.words = self.takers.iter().map(SocketAddr::to_string).collect();
        }
        let had_turns = vacant.as_nanos() / self.turn.as_nanos().max(1);
        let had_turns = usize::try_from(had_turns).unwrap_or(usize::MAX);
        let mine = rank(key, me);
        let before = self.words.iter().filter(|host| rank(key, host) > mine);
        before.take(had_turns.saturating_add(1)).count() <= had_turns
    }
}

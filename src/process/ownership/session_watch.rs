use {
    super::SessionRow,
    crate::clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Tracks the session rows of hosts believed dead, to detect that their leases have lapsed.
///
/// A session has lapsed when its row keeps one version for the lease length and a margin. Only the
/// local clock is used, so clock skew between hosts has no effect.
#[derive(Debug, Default)]
pub struct SessionWatch {
    watched: BTreeMap<String, WatchedSession>,
}

/// The latest version of a session row.
#[derive(Debug)]
struct WatchedSession {
    version: u64,
    row: Option<SessionRow>,
    unchanged_since: Instant,
    /// When the last read that returned this version was sent.
    last_read_at: Instant,
}

impl SessionWatch {
    /// Returns the watched hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.watched.keys()
    }

    /// Starts watching a host; does nothing if it is watched already.
    pub fn watch(
        &mut self,
        host: &str,
        now: Instant,
    ) {
        self.watched
            .entry(host.to_string())
            .or_insert(WatchedSession {
                version: u64::MAX,
                row: None,
                unchanged_since: now,
                last_read_at: now,
            });
    }

    /// Stops watching the hosts for which `is_watched` returns false.
    pub fn retain(
        &mut self,
        is_watched: impl Fn(&str) -> bool,
    ) {
        self.watched.retain(|host, _| is_watched(host));
    }

    /// Records a read of a watched row that was sent at `requested_at`; version 0 is an absent row.
    pub fn on_read(
        &mut self,
        host: &str,
        version: u64,
        row: Option<SessionRow>,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(watched) = self.watched.get_mut(host) else {
            return;
        };
        if watched.version != version {
            *watched = WatchedSession {
                version,
                row,
                unchanged_since: now,
                last_read_at: now,
            };
        }
        watched.last_read_at = watched.last_read_at.max(requested_at);
    }

    /// Returns true if the session has ended or its lease has lapsed.
    pub fn has_ended(
        &self,
        host: &str,
        session: u64,
        lapse_wait: Duration,
    ) -> bool {
        let Some(watched) = self.watched.get(host) else {
            return false;
        };
        if watched.version == u64::MAX {
            return false;
        }
        let ended = watched
            .row
            .as_ref()
            .is_some_and(|row| row.session == session && row.ended);
        ended
            || watched
                .last_read_at
                .saturating_duration_since(watched.unchanged_since)
                >= lapse_wait
    }
}

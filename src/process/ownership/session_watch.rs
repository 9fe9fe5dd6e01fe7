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
    seen: BTreeMap<String, Seen>,
}

/// The latest version of a session row.
#[derive(Debug)]
struct Seen {
    version: u64,
    row: Option<SessionRow>,
    first: Instant,
    /// When the last read that returned this version was sent.
    confirmed: Instant,
}

impl SessionWatch {
    /// Returns the watched hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.seen.keys()
    }

    /// Starts watching a host; does nothing if it is watched already.
    pub fn watch(
        &mut self,
        host: &str,
        now: Instant,
    ) {
        self.seen.entry(host.to_string()).or_insert(Seen {
            version: u64::MAX,
            row: None,
            first: now,
            confirmed: now,
        });
    }

    /// Stops watching the hosts for which `wanted` returns false.
    pub fn keep(
        &mut self,
        wanted: impl Fn(&str) -> bool,
    ) {
        self.seen.retain(|host, _| wanted(host));
    }

    /// Records a read of a watched row that was sent at `asked`; version 0 is an absent row.
    pub fn on_read(
        &mut self,
        host: &str,
        version: u64,
        row: Option<SessionRow>,
        asked: Instant,
        now: Instant,
    ) {
        let Some(seen) = self.seen.get_mut(host) else {
            return;
        };
        if seen.version != version {
            *seen = Seen {
                version,
                row,
                first: now,
                confirmed: now,
            };
        }
        seen.confirmed = seen.confirmed.max(asked);
    }

    /// Returns true if the session has ended or its lease has lapsed.
    pub fn is_over(
        &self,
        host: &str,
        session: u64,
        wait: Duration,
    ) -> bool {
        let Some(seen) = self.seen.get(host) else {
            return false;
        };
        if seen.version == u64::MAX {
            return false;
        }
        let ended = seen
            .row
            .as_ref()
            .is_some_and(|row| row.session == session && row.ended);
        ended || seen.confirmed.saturating_duration_since(seen.first) >= wait
    }
}

use {
    super::SessionRow,
    crate::clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Watches the session rows of hosts believed dead, to see them lapse.
///
/// A session has lapsed when a read shows the version that was there a lease and a margin before,
/// by this process's own clock: no clocks of two hosts are compared.
#[derive(Debug, Default)]
pub struct SessionWatch {
    seen: BTreeMap<String, Seen>,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    row: Option<SessionRow>,
    first: Instant,
    /// When the last read that found the version was sent.
    confirmed: Instant,
}

impl SessionWatch {
    /// Hosts that are watched.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.seen.keys()
    }

    /// Starts to watch a host; nothing is known of its row yet.
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

    /// Watches only the hosts for which `wanted` holds.
    pub fn keep(
        &mut self,
        wanted: impl Fn(&str) -> bool,
    ) {
        self.seen.retain(|host, _| wanted(host));
    }

    /// A read of a watched row that was sent at `asked`; version 0 is an absent row.
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

    /// True when the session can give no more orders.
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

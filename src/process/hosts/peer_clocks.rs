use {
    crate::clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// What an exchange told of another process's clock counts for one to two such times: long enough that
/// each pair of hosts of a large site makes one (302 hosts ping one another every 30 s), short enough for
/// clocks that run apart by 100 parts in a million to drift by 12 ms at the most.
const WINDOW: Duration = Duration::from_secs(60);

/// An answer to a ping of this host, by the clocks of both sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PingExchange {
    pub peer: SocketAddr,
    /// The process that answered.
    pub process: u64,
    /// When the ping left this host.
    pub pinged: Instant,
    /// When the answer left the other one, as time since the start of its process.
    pub answered: Duration,
}

/// When another process started, by this host's clock, at the earliest.
#[derive(Debug, Clone, Copy)]
struct PeerClock {
    process: u64,
    /// From the exchanges of the window that runs, and of the one before.
    latest: Instant,
    before: Option<Instant>,
    window_from: Instant,
}

impl PeerClock {
    fn started(&self) -> Instant {
        self.before
            .map_or(self.latest, |before| before.max(self.latest))
    }

    fn is_recent(
        &self,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.window_from) < WINDOW * 2
    }
}

/// Tells when messages of other hosts left them, at the earliest.
///
/// A message may be on its way for long, as it waits behind large copies on a full link. What it says of ages
/// holds for when it left, so a host must not take it as of when it arrived. An answer can't have left before
/// the ping that it answers; that bounds the other side's clock, by which later messages say when they left.
/// Only steady clocks of processes are used, and no time of day.
#[derive(Debug, Default)]
pub struct PeerClocks {
    peers: BTreeMap<SocketAddr, PeerClock>,
}

impl PeerClocks {
    /// A ping of this host was answered.
    pub fn on_exchange(
        &mut self,
        exchange: &PingExchange,
        now: Instant,
    ) {
        self.peers.retain(|_, clock| clock.is_recent(now));
        let Some(started) = exchange.pinged.checked_sub(exchange.answered) else {
            return;
        };
        let new = PeerClock {
            process: exchange.process,
            latest: started,
            before: None,
            window_from: now,
        };
        let clock = self.peers.entry(exchange.peer).or_insert(new);
        if clock.process != exchange.process {
            *clock = new;
            return;
        }
        if now.saturating_duration_since(clock.window_from) < WINDOW {
            clock.latest = clock.latest.max(started);
            return;
        }
        *clock = PeerClock {
            before: Some(clock.latest),
            ..new
        };
    }

    /// A message left its sender at this time or later; `None` if no ping to that process was answered lately.
    ///
    /// `sent` is the time since the start of its process.
    pub fn left_after(
        &self,
        peer: SocketAddr,
        process: u64,
        sent: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let clock = self.peers.get(&peer)?;
        let holds = clock.process == process && clock.is_recent(now);
        holds.then(|| clock.started() + sent)
    }
}

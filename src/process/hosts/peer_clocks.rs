use {
    crate::clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Window over which exchanges are aggregated; an exchange is used for one to two windows. Each pair of
/// hosts of a large site exchanges pings at least once per window (every 30 s among 302 hosts), and clocks
/// that differ by 100 ppm drift by at most 12 ms in two windows.
const EXCHANGE_WINDOW: Duration = Duration::from_secs(60);

/// An answered ping of this host, with the times read from the clocks of both sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PingExchange {
    pub peer: SocketAddr,
    /// The process that answered.
    pub process: u64,
    /// When this host sent the ping.
    pub ping_sent_at: Instant,
    /// When the other host sent the answer, as time since its process started.
    pub answer_sent_after: Duration,
}

/// Earliest possible start time of another process, on this host's clock.
#[derive(Debug, Clone, Copy)]
struct PeerClock {
    process: u64,
    /// Tightest bound from the exchanges of the current window.
    current_bound: Instant,
    /// Tightest bound from the previous window.
    previous_bound: Option<Instant>,
    window_start: Instant,
}

impl PeerClock {
    fn earliest_start(&self) -> Instant {
        self.previous_bound
            .map_or(self.current_bound, |previous_bound| {
                previous_bound.max(self.current_bound)
            })
    }

    fn is_recent(
        &self,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.window_start) < EXCHANGE_WINDOW * 2
    }
}

/// Computes the earliest time at which a message from another host can have been sent.
///
/// A message may be queued for a long time behind bulk transfers on a saturated link, and the ages that it
/// reports are relative to its send time, not to its arrival. An answer can't be sent before its ping; this
/// bounds the offset of the sender's clock, which later messages carry as their send time. Only monotonic
/// process clocks are used, never the time of day.
#[derive(Debug, Default)]
pub struct PeerClocks {
    peers: BTreeMap<SocketAddr, PeerClock>,
}

impl PeerClocks {
    /// Records an answered ping of this host.
    pub fn on_exchange(
        &mut self,
        exchange: &PingExchange,
        now: Instant,
    ) {
        self.peers.retain(|_, clock| clock.is_recent(now));
        let Some(earliest_start) = exchange
            .ping_sent_at
            .checked_sub(exchange.answer_sent_after)
        else {
            return;
        };
        let new = PeerClock {
            process: exchange.process,
            current_bound: earliest_start,
            previous_bound: None,
            window_start: now,
        };
        let clock = self.peers.entry(exchange.peer).or_insert(new);
        if clock.process != exchange.process {
            *clock = new;
            return;
        }
        if now.saturating_duration_since(clock.window_start) < EXCHANGE_WINDOW {
            clock.current_bound = clock.current_bound.max(earliest_start);
            return;
        }
        *clock = PeerClock {
            previous_bound: Some(clock.current_bound),
            ..new
        };
    }

    /// Returns the earliest time at which a message can have been sent, or `None` if that process has not
    /// answered a ping recently.
    ///
    /// `sent` is the send time as time since the start of the sender's process.
    pub fn earliest_send_time(
        &self,
        peer: SocketAddr,
        process: u64,
        sent: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let clock = self.peers.get(&peer)?;
        let is_known = clock.process == process && clock.is_recent(now);
        is_known.then(|| clock.earliest_start() + sent)
    }
}

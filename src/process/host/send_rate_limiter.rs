use {crate::clock::Instant, std::time::Duration};

/// Share of the link that large pages for other hosts may use; the rest is for callers.
const LINK_SHARE: f64 = 0.5;

/// Sends are rejected while the admitted ones take longer than this; the hosts that were served can
/// serve the others meanwhile.
const MAX_BACKLOG: Duration = Duration::from_millis(150);

const BYTES_PER_MBIT: f64 = 125_000.0;

/// Limits the large pages that this host sends to other hosts to a share of its link.
///
/// Without it, all hosts of a site would share the link of the first host that has a newer replica. With
/// it, a few hosts receive theirs quickly and pass it on.
#[derive(Debug)]
pub struct SendRateLimiter {
    /// `None` disables the limit.
    bytes_per_s: Option<f64>,
    /// Estimated time at which everything admitted so far has been sent.
    free_at: Option<Instant>,
}

impl SendRateLimiter {
    /// `link_mbps` is the capacity of the host's link; `None` disables the limit.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            bytes_per_s: link_mbps.map(|mbps| mbps * BYTES_PER_MBIT * LINK_SHARE),
            free_at: None,
        }
    }

    /// Returns true and reserves link time if this many bytes may be sent now.
    pub fn admit(
        &mut self,
        bytes: usize,
        now: Instant,
    ) -> bool {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return true;
        };
        let free_at = self.free_at.unwrap_or(now).max(now);
        if free_at > now + MAX_BACKLOG {
            return false;
        }
        let send_time = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        self.free_at = Some(free_at + send_time);
        true
    }
}

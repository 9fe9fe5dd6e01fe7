use {crate::clock::Instant, std::time::Duration};

/// Share of the link that large copies for other hosts may take; answers to callers go over it too.
const LINK_SHARE: f64 = 0.5;

/// Copies are handed out ahead for so long: hosts that wait longer get theirs from one that has been
/// served meanwhile.
const BACKLOG: Duration = Duration::from_millis(150);

/// Bytes in a second that one Mbit/s carries.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Limits what this host sends of large copies to what its link carries.
///
/// Without it, all hosts of a site ask the first that has a newer copy. On a link of 10 Mbit/s each of
/// 74 would get 17 KB a second; with it a few get theirs in a moment and hand it on.
#[derive(Debug)]
pub struct SendAllowance {
    /// None sets no limit.
    bytes_per_s: Option<f64>,
    /// When what was admitted so far has been sent.
    free_at: Option<Instant>,
}

impl SendAllowance {
    /// The allowance of a host whose link carries so much; none sets no limit.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            bytes_per_s: link_mbps.map(|mbps| mbps * BYTES_PER_MBIT * LINK_SHARE),
            free_at: None,
        }
    }

    /// True if so many bytes may be sent now.
    pub fn admit(
        &mut self,
        bytes: usize,
        now: Instant,
    ) -> bool {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return true;
        };
        let free_at = self.free_at.unwrap_or(now).max(now);
        if free_at > now + BACKLOG {
            return false;
        }
        let takes = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        self.free_at = Some(free_at + takes);
        true
    }
}

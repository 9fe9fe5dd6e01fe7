use {
    crate::clock::Instant,
    std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration},
};

/// Window over which loads are counted, long enough for engines that are replaced in quick succession.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// A limiter shared by the engine allocators of a host, all on one thread.
pub type SharedBaseLoadLimiter = Rc<RefCell<BaseLoadLimiter>>;

/// Limits the rate at which this host's engines load base models from the weight store.
///
/// The site-wide rate is divided by the share of engines that each host holds, rounded, with at least one load
/// per window. Only one load is allowed in the first window after start, since earlier orders are unknown then.
#[derive(Debug, Default)]
pub struct BaseLoadLimiter {
    /// Share of the site's engines that this host holds; unlimited if `None`.
    share: Option<f64>,
    /// When `max_targets` was first set.
    share_known_since: Option<Instant>,
    /// Times of the loads ordered within the window.
    ordered: VecDeque<Instant>,
}

impl BaseLoadLimiter {
    /// Sets the share from the number of engines held and the total.
    pub fn set_share(
        &mut self,
        held: usize,
        engines: usize,
        now: Instant,
    ) {
        self.share = Some(held as f64 / engines.max(1) as f64);
        self.share_known_since.get_or_insert(now);
    }

    /// Returns true, and counts the load, if a load may be ordered now.
    pub fn admit(
        &mut self,
        loads_per_second: f64,
        now: Instant,
    ) -> bool {
        let Some(share) = self.share else {
            return true;
        };
        let is_past_window = |at: &Instant| now.saturating_duration_since(*at) > RATE_WINDOW;
        while self.ordered.front().is_some_and(is_past_window) {
            self.ordered.pop_front();
        }
        let allowance = (loads_per_second * RATE_WINDOW.as_secs_f64() * share).round();
        let allowed = match self.share_known_since.as_ref().is_some_and(is_past_window) {
            true => allowance.max(1.0),
            false => 1.0,
        };
        if self.ordered.len() as f64 >= allowed {
            return false;
        }
        self.ordered.push_back(now);
        true
    }
}

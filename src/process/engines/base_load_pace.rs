use {
    crate::clock::Instant,
    std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration},
};

/// Loads are counted over so long: the weight store bounds them over spans of some seconds, and a holder whose
/// engines are replaced one after the other needs not wait within a span.
const WINDOW: Duration = Duration::from_secs(5);

/// Shared by the desks of one host, which all decide on the same thread.
pub type SharedBaseLoadPace = Rc<RefCell<BaseLoadPace>>;

/// Limits the base models that the engines of this host take from the weight store.
///
/// The store bounds the loads of the whole site. Each holder takes the part of it that its engines are of all, to
/// the nearest load and one at the least: seven holders of twelve engines order 17 in five seconds where 21
/// are allowed. A host that starts anew doesn't know what was ordered before, and orders one in its first window.
/// They are counted over a window and not spaced evenly, so that engines which are replaced one a second need not wait
/// for their model.
#[derive(Debug, Default)]
pub struct BaseLoadPace {
    /// Part of the site's engines that this host holds; none sets no limit.
    share: Option<f64>,
    /// When the first share became known.
    started: Option<Instant>,
    /// Loads ordered within the window.
    ordered: VecDeque<Instant>,
}

impl BaseLoadPace {
    /// This host holds so many of all engines.
    pub fn set_share(
        &mut self,
        held: usize,
        engines: usize,
        now: Instant,
    ) {
        self.share = Some(held as f64 / engines.max(1) as f64);
        self.started.get_or_insert(now);
    }

    /// True if a load may be ordered now; it counts as ordered then.
    pub fn admit(
        &mut self,
        loads_per_second: f64,
        now: Instant,
    ) -> bool {
        let Some(share) = self.share else {
            return true;
        };
        let is_over = |at: &Instant| now.saturating_duration_since(*at) > WINDOW;
        while self.ordered.front().is_some_and(is_over) {
            self.ordered.pop_front();
        }
        let part = (loads_per_second * WINDOW.as_secs_f64() * share).round();
        let allowed = match self.started.as_ref().is_some_and(is_over) {
            true => part.max(1.0),
            false => 1.0,
        };
        if self.ordered.len() as f64 >= allowed {
            return false;
        }
        self.ordered.push_back(now);
        true
    }
}

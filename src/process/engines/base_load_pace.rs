use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Share of the weight store's rate that hosts use together. The rest, a tenth of a window and three loads that
/// the store bears besides leave room for one load of each holder that comes on top: seven holders of twelve
/// engines order 20 in five seconds at the most where 21 are allowed.
const USED_SHARE: f64 = 0.8;

/// Shared by the desks of one host, which all decide on the same thread.
pub type SharedBaseLoadPace = Rc<RefCell<BaseLoadPace>>;

/// Spaces the base models that the engines of this host take from the weight store.
///
/// The store bounds the loads of the whole site. Each holder takes the part of it that its engines are of all, and
/// saves up no more than one load. A host that starts anew waits first: it doesn't know what was ordered before.
#[derive(Debug, Default)]
pub struct BaseLoadPace {
    /// Part of the site's engines that this host holds; none sets no limit.
    share: Option<f64>,
    /// When the last load was ordered, or the first share became known.
    last: Option<Instant>,
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
        self.last.get_or_insert(now);
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
        let rate = loads_per_second * USED_SHARE * share;
        let pause = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        let last = self.last.unwrap_or(now);
        if now.saturating_duration_since(last) < pause {
            return false;
        }
        self.last = Some(now);
        true
    }
}

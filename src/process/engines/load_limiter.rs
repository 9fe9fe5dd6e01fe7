use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Time that an adapter takes from the weight store when few come at once.
pub const LOAD_TIME: Duration = Duration::from_millis(252);

/// A load that takes less than this multiple of its time alone was not held up by others.
const UNCROWDED: f64 = 1.8;

/// Loads at once that a host begins with.
const FIRST_WINDOW: f64 = 2.0;

/// Loads at once that a host allows at the least; a share of a load counts as a whole one.
const LEAST_WINDOW: f64 = 1.5;

/// Loads at once that a host allows at the most.
const MOST_WINDOW: f64 = 16.0;

/// Growth of the window, over as many loads as it is wide, while none is held up.
const WINDOW_STEP: f64 = 1.5;

/// What is left of the window after a load that was held up.
const WINDOW_CUT: f64 = 0.85;

/// Weight of a new measurement of the time of loads.
const LOAD_TIME_WEIGHT: f64 = 0.2;

/// Loads that take longer than this show that the weight store has too much to do for spare copies.
const STORE_BUSY: Duration = Duration::from_millis(380);

/// A longer load tells no more than this.
const MOST_LOAD_TIME: Duration = Duration::from_millis(1500);

/// Loads of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoads {
    /// On their way from the weight store.
    pub coming: usize,
    /// Asked for, and not ordered yet.
    pub waiting: usize,
}

/// Shared by the desks of one host, which all decide on the same thread.
pub type SharedLoadLimiter = Rc<RefCell<LoadLimiter>>;

/// How many adapters may come from the weight store at once to all engines of this host.
///
/// The store shares its speed among all loads of the site, and nobody tells how many those are. So
/// each host widens its window while loads are fast and narrows it when they are slow, in the manner
/// of congestion control: what can't be loaded in time waits here, the most urgent first, instead of
/// making every load slow.
#[derive(Debug)]
pub struct LoadLimiter {
    load_time: Duration,
    window: f64,
    engines: BTreeMap<String, EngineLoads>,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            load_time: LOAD_TIME,
            window: FIRST_WINDOW,
            engines: BTreeMap::new(),
        }
    }
}

impl LoadLimiter {
    /// An engine's desk tells what it has on its way and waiting.
    pub fn set(
        &mut self,
        target: &str,
        loads: EngineLoads,
    ) {
        match self.engines.get_mut(target) {
            Some(known) => *known = loads,
            None => {
                self.engines.insert(target.to_string(), loads);
            }
        }
    }

    /// An engine is no longer this host's.
    pub fn forget(
        &mut self,
        target: &str,
    ) {
        self.engines.remove(target);
    }

    /// True if another load from the weight store may begin.
    pub fn has_room(&self) -> bool {
        (self.coming() as f64) < self.window
    }

    /// True if the weight store has too much to do for spare copies.
    pub fn is_busy(&self) -> bool {
        self.load_time > STORE_BUSY
    }

    /// Time that a load takes at present.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Time after which a load that is asked for now should be over.
    pub fn queue_time(&self) -> Duration {
        let ahead = (self.coming() + self.waiting()) as f64;
        self.load_time.mul_f64((ahead / self.window).max(1.0))
    }

    /// A load from the weight store took this time.
    pub fn on_load(
        &mut self,
        time: Duration,
    ) {
        let time = time.min(MOST_LOAD_TIME);
        let old = self.load_time.mul_f64(1.0 - LOAD_TIME_WEIGHT);
        self.load_time = old + time.mul_f64(LOAD_TIME_WEIGHT);
        self.window = match time < LOAD_TIME.mul_f64(UNCROWDED) {
            true => (self.window + WINDOW_STEP / self.window).min(MOST_WINDOW),
            false => (self.window * WINDOW_CUT).max(LEAST_WINDOW),
        };
    }

    fn coming(&self) -> usize {
        self.engines.values().map(|loads| loads.coming).sum()
    }

    fn waiting(&self) -> usize {
        self.engines.values().map(|loads| loads.waiting).sum()
    }
}

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Load time of an adapter from an idle weight store.
pub const IDLE_STORE_LOAD_TIME: Duration = Duration::from_millis(252);

/// Loads slower than this multiple of `IDLE_STORE_LOAD_TIME` were delayed by other loads.
const CONTENTION_FACTOR: f64 = 1.8;

const INITIAL_WINDOW: f64 = 2.0;

/// Fractions of a load are rounded up.
const MIN_WINDOW: f64 = 1.5;

const MAX_WINDOW: f64 = 16.0;

/// Growth over one window of loads without delays.
const WINDOW_INCREASE: f64 = 1.5;

/// Factor by which a delayed load shrinks the window.
const WINDOW_DECREASE_FACTOR: f64 = 0.85;

/// Weight of a new sample in the moving average of load times.
const LOAD_TIME_EWMA_WEIGHT: f64 = 0.2;

/// Average load time above which the weight store is too busy for additional copies.
const BUSY_STORE_LOAD_TIME: Duration = Duration::from_millis(380);

/// Upper bound of load time samples.
const MAX_LOAD_TIME_SAMPLE: Duration = Duration::from_millis(1500);

/// Adapter loads of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoads {
    /// Ordered from the weight store and not yet completed.
    pub in_progress: usize,
    /// Requested and not yet ordered.
    pub queued: usize,
}

/// A limiter shared by the engine allocators of a host, all on one thread.
pub type SharedLoadLimiter = Rc<RefCell<LoadLimiter>>;

/// Limits concurrent adapter loads from the weight store to all engines of this host.
///
/// All hosts share the store's bandwidth, and none knows the total number of loads. Each host adapts a
/// congestion window, which grows while loads are fast and shrinks when they are slow. Further loads queue
/// here by urgency instead of slowing down all loads.
#[derive(Debug)]
pub struct LoadLimiter {
    load_time: Duration,
    window: f64,
    engines: BTreeMap<String, EngineLoads>,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            load_time: IDLE_STORE_LOAD_TIME,
            window: INITIAL_WINDOW,
            engines: BTreeMap::new(),
        }
    }
}

impl LoadLimiter {
    /// Sets the loads of an engine.
    pub fn set(
        &mut self,
        target: &str,
        loads: EngineLoads,
    ) {
        match self.engines.get_mut(target) {
            Some(current) => *current = loads,
            None => {
                self.engines.insert(target.to_string(), loads);
            }
        }
    }

    /// Removes an engine that this host no longer holds.
    pub fn remove_engine(
        &mut self,
        target: &str,
    ) {
        self.engines.remove(target);
    }

    /// Returns true if the window has room for another load.
    pub fn has_room(&self) -> bool {
        (self.in_progress() as f64) < self.window
    }

    /// Returns true if the weight store is too busy for additional copies of adapters.
    pub fn is_busy(&self) -> bool {
        self.load_time > BUSY_STORE_LOAD_TIME
    }

    /// Returns the moving average of load times.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Returns the expected time until a load requested now has completed.
    pub fn completion_time(&self) -> Duration {
        let ahead = (self.in_progress() + self.queued()) as f64;
        self.load_time.mul_f64((ahead / self.window).max(1.0))
    }

    /// Records the duration of a load from the weight store.
    pub fn on_load(
        &mut self,
        time: Duration,
    ) {
        let time = time.min(MAX_LOAD_TIME_SAMPLE);
        let previous = self.load_time.mul_f64(1.0 - LOAD_TIME_EWMA_WEIGHT);
        self.load_time = previous + time.mul_f64(LOAD_TIME_EWMA_WEIGHT);
        self.window = match time < IDLE_STORE_LOAD_TIME.mul_f64(CONTENTION_FACTOR) {
            true => (self.window + WINDOW_INCREASE / self.window).min(MAX_WINDOW),
            false => (self.window * WINDOW_DECREASE_FACTOR).max(MIN_WINDOW),
        };
    }

    fn in_progress(&self) -> usize {
        self.engines.values().map(|loads| loads.in_progress).sum()
    }

    fn queued(&self) -> usize {
        self.engines.values().map(|loads| loads.queued).sum()
    }
}

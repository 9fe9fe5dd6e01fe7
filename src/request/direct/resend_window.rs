use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Counts of one slice of the window.
#[derive(Debug, Clone, Copy)]
struct Slice {
    from: Instant,
    requests: u32,
    repeats: u32,
}

/// Slices of a window.
const SLICES: u32 = 20;

/// Part of this host's share of the budget that it uses; the rest is for hosts that can't see each other.
const USED_SHARE: f64 = 0.8;

/// This host's share of the budget of repeats of one service, over a sliding window.
#[derive(Debug)]
pub struct ResendWindow {
    window: Duration,
    /// Repeats allowed for each request.
    ratio: f64,
    /// Repeats allowed besides, over all hosts.
    extra: f64,
    slices: VecDeque<Slice>,
}

impl ResendWindow {
    pub fn new(
        window: Duration,
        ratio: f64,
        extra: f64,
    ) -> Self {
        Self {
            window,
            ratio,
            extra,
            slices: VecDeque::new(),
        }
    }

    /// A caller sent a request for the service.
    pub fn on_request(
        &mut self,
        now: Instant,
    ) {
        self.current(now).requests += 1;
    }

    /// A request arrived at a target that was not its first.
    pub fn on_repeat(
        &mut self,
        now: Instant,
    ) {
        self.current(now).repeats += 1;
    }

    /// True if another repeat is within this host's share among `hosts`.
    pub fn allows(
        &mut self,
        hosts: usize,
        now: Instant,
    ) -> bool {
        self.current(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let extra = self.extra / hosts.max(1) as f64;
        let share = (self.ratio * f64::from(requests) + extra) * USED_SHARE;
        f64::from(repeats) + 1.0 <= share
    }

    /// The slice of this moment; those that have left the window are dropped.
    fn current(
        &mut self,
        now: Instant,
    ) -> &mut Slice {
        let oldest = |slice: &Slice| now.saturating_duration_since(slice.from) > self.window;
        while self.slices.front().is_some_and(oldest) {
            self.slices.pop_front();
        }
        let length = self.window / SLICES;
        let fits = |slice: &Slice| now.saturating_duration_since(slice.from) < length;
        if !self.slices.back().is_some_and(fits) {
            self.slices.push_back(Slice {
                from: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.slices.back_mut().expect("one was just put there")
    }
}

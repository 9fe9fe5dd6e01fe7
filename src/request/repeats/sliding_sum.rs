use {
    crate::clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Number of slices of the window, which bounds the error of a sum.
const SLICES: u32 = 40;

/// How a sum treats the slice at the window's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rounding {
    /// Amounts within the window may be left out.
    Down,
    /// Amounts from before the window may be counted.
    Up,
}

/// The sum of amounts within a sliding window.
#[derive(Debug)]
pub struct SlidingSum {
    window: Duration,
    rounding: Rounding,
    slices: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl SlidingSum {
    pub fn new(
        window: Duration,
        rounding: Rounding,
    ) -> Self {
        Self {
            window,
            rounding,
            slices: VecDeque::new(),
            sum: 0.0,
        }
    }

    pub fn add(
        &mut self,
        amount: f64,
        now: Instant,
    ) {
        self.evict_expired(now);
        let length = self.window / SLICES;
        let fits = |from: Instant| now.saturating_duration_since(from) < length;
        match self.slices.back_mut() {
            Some((from, count)) if fits(*from) => *count += amount,
            _ => self.slices.push_back((now, amount)),
        }
        self.sum += amount;
    }

    /// Subtracts from what was added at a time.
    pub fn subtract(
        &mut self,
        amount: f64,
        at: Instant,
    ) {
        let slice = self.slices.iter_mut().rev().find(|(from, _)| *from <= at);
        if let Some((_, count)) = slice {
            let removed = amount.min(*count);
            *count -= removed;
            self.sum -= removed;
        }
    }

    pub fn sum(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.evict_expired(now);
        self.sum
    }

    fn evict_expired(
        &mut self,
        now: Instant,
    ) {
        let retention = match self.rounding {
            Rounding::Down => self.window,
            Rounding::Up => self.window + self.window / SLICES,
        };
        let is_expired = |from: Instant| now.saturating_duration_since(from) > retention;
        let mut evicted = false;
        while self
            .slices
            .front()
            .is_some_and(|(from, _)| is_expired(*from))
        {
            self.slices.pop_front();
            evicted = true;
        }
        if evicted {
            // Recomputed, so that rounding errors don't accumulate.
            self.sum = self.slices.iter().map(|(_, count)| count).sum();
        }
    }
}

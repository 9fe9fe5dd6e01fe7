use {
    crate::clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Slices of the time over which something is counted; what was spent counts for a fortieth of it too long.
const SLICES: u32 = 40;

/// Which way a count errs by the length of a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rounding {
    /// What happened within the time may be left out already.
    Down,
    /// What happened before may be counted still.
    Up,
}

/// What happened within a sliding time.
#[derive(Debug)]
pub struct RecentCount {
    time: Duration,
    rounding: Rounding,
    slices: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl RecentCount {
    pub fn new(
        time: Duration,
        rounding: Rounding,
    ) -> Self {
        Self {
            time,
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
        self.drop_old(now);
        let length = self.time / SLICES;
        let fits = |from: Instant| now.saturating_duration_since(from) < length;
        match self.slices.back_mut() {
            Some((from, count)) if fits(*from) => *count += amount,
            _ => self.slices.push_back((now, amount)),
        }
        self.sum += amount;
    }

    /// Takes back what was added at a time.
    pub fn take_back(
        &mut self,
        amount: f64,
        at: Instant,
    ) {
        let slice = self.slices.iter_mut().rev().find(|(from, _)| *from <= at);
        if let Some((_, count)) = slice {
            let back = amount.min(*count);
            *count -= back;
            self.sum -= back;
        }
    }

    pub fn sum(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.drop_old(now);
        self.sum
    }

    fn drop_old(
        &mut self,
        now: Instant,
    ) {
        let kept = match self.rounding {
            Rounding::Down => self.time,
            Rounding::Up => self.time + self.time / SLICES,
        };
        let old = |from: Instant| now.saturating_duration_since(from) > kept;
        let mut dropped = false;
        while self.slices.front().is_some_and(|(from, _)| old(*from)) {
            self.slices.pop_front();
            dropped = true;
        }
        if dropped {
            // Summed anew, so that errors of many small steps don't add up.
            self.sum = self.slices.iter().map(|(_, count)| count).sum();
        }
    }
}

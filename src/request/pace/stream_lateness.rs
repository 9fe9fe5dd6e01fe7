//! Lateness that a prompt causes to the streams of an engine.
//!
//! Addresses prompts that arrive faster than an engine prefills them, so that it reads prompts without a break. An
//! engine reads a piece of a prompt in each decode step, so that streams pause for as long as it reads. A stream is
//! late once one of its pauses is longer than its route allows, and stays late: further reading costs it nothing more.

use std::time::Duration;

/// Share of the allowed pause from which on a pause may be exceeded, as steps vary in length.
const RISKY_SHARE: f64 = 0.85;

/// Share of the allowed pause at which it is exceeded for certain.
const CERTAIN_SHARE: f64 = 1.15;

/// Time for which an engine reads prompts without a break, without and with the prompt of one more request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Without the request.
    pub before: Duration,
    /// With the request.
    pub after: Duration,
}

/// Answers that become late by a pause if a request is sent to an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamLateness {
    /// Probability that the request's own stream becomes late.
    pub own: f64,
    /// Number of running streams that become late, on average.
    pub others: f64,
}

impl StreamLateness {
    /// Estimates the lateness at an engine that runs `streams` streams; `allowed` is the longest pause that keeps them
    /// in time.
    pub fn of(
        reading: Reading,
        streams: u32,
        allowed: Duration,
    ) -> Self {
        let before = lateness(reading.before, allowed);
        let after = lateness(reading.after, allowed);
        Self {
            own: after,
            others: f64::from(streams) * (after - before).max(0.0),
        }
    }

    /// Returns the number of late answers.
    pub fn total(&self) -> f64 {
        self.own + self.others
    }
}

/// Returns the probability that a stream becomes late if the engine reads for this long.
fn lateness(
    reading: Duration,
    allowed: Duration,
) -> f64 {
    let share = reading.as_secs_f64() / allowed.as_secs_f64().max(f64::MIN_POSITIVE);
    ((share - RISKY_SHARE) / (CERTAIN_SHARE - RISKY_SHARE)).clamp(0.0, 1.0)
}

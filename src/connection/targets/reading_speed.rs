use std::time::Duration;

/// Assumed until something was measured, in tokens a millisecond.
const ASSUMED: f64 = 15.0;

const LEAST: f64 = 0.5;

/// Weight of a new measurement.
const WEIGHT: f64 = 0.05;

/// Time that an engine needs besides reading the prompt, in milliseconds.
const FIXED_MS: f64 = 15.0;

/// Prompts shorter than this tell little of the speed, in tokens.
const LEAST_TOKENS: u64 = 400;

/// Weight of a new prompt in what is known of their sizes: the last hundred or so count.
const SIZE_WEIGHT: f64 = 0.01;

/// How fast the engines of a service read prompts, learnt from requests that found no backlog.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadingSpeed {
    tokens_per_ms: f64,
    /// Mean size of prompts, and mean of its square.
    mean_tokens: f64,
    mean_square: f64,
}

impl Default for ReadingSpeed {
    fn default() -> Self {
        Self {
            tokens_per_ms: ASSUMED,
            mean_tokens: 0.0,
            mean_square: 0.0,
        }
    }
}

impl ReadingSpeed {
    /// A prompt that found no backlog brought its first event after `time`.
    pub fn on_first_event(
        &mut self,
        tokens: u64,
        time: Duration,
    ) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let reading_ms = (time.as_secs_f64() * 1000.0 - FIXED_MS).max(1.0);
        let speed = (tokens as f64 / reading_ms).max(LEAST);
        self.tokens_per_ms += (speed - self.tokens_per_ms) * WEIGHT;
    }

    /// A request with a prompt of this size came.
    pub fn on_prompt(
        &mut self,
        tokens: u32,
    ) {
        let tokens = f64::from(tokens);
        let weight = match self.mean_tokens {
            0.0 => 1.0,
            _ => SIZE_WEIGHT,
        };
        self.mean_tokens += (tokens - self.mean_tokens) * weight;
        self.mean_square += (tokens * tokens - self.mean_square) * weight;
    }

    /// Size of the prompt that an engine is reading when another request arrives, in the mean: long
    /// prompts are met more often than short ones.
    pub fn prompt_in_reading(&self) -> u64 {
        match self.mean_tokens {
            0.0 => u64::MAX,
            mean => (self.mean_square / mean) as u64,
        }
    }

    /// Expected time to read so many tokens.
    pub fn time_for(
        &self,
        tokens: u64,
    ) -> Duration {
        Duration::from_secs_f64((tokens as f64 / self.tokens_per_ms + FIXED_MS) / 1000.0)
    }
}

use {
    crate::request::pace::{FIXED_MS, MIN_SAMPLE_TOKENS, PrefillSample},
    std::time::Duration,
};

/// Initial estimate, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 15.0;

const MIN_TOKENS_PER_MS: f64 = 0.5;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Largest factor by which one sample may differ from the estimate; beyond it, this factor counts, so that one extreme
/// sample has a bounded effect.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// Weight of a new prompt in the moving averages of prompt sizes.
const PROMPT_SIZE_WEIGHT: f64 = 0.01;

/// Prefill throughput of a service's engines: of idle ones, for times to first events, and of loaded ones, as the reference
/// for the speed of single engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillThroughput {
    /// Over requests that found no backlog.
    tokens_per_ms: f64,
    /// Over all requests, including those that found a backlog; lower, as it includes the time in queues.
    loaded_tokens_per_ms: f64,
    /// Moving averages of prompt sizes and of their squares, in tokens.
    mean_tokens: f64,
    mean_square: f64,
}

impl Default for PrefillThroughput {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            loaded_tokens_per_ms: INITIAL_TOKENS_PER_MS,
            mean_tokens: 0.0,
            mean_square: 0.0,
        }
    }
}

impl PrefillThroughput {
    /// Samples a prompt that found no backlog and whose first event came after `time`.
    pub fn on_first_event(
        &mut self,
        tokens: u64,
        time: Duration,
    ) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let prefill_ms = (time.as_secs_f64() * 1000.0 - FIXED_MS).max(1.0);
        let speed = (tokens as f64 / prefill_ms).max(MIN_TOKENS_PER_MS);
        self.tokens_per_ms += (speed - self.tokens_per_ms) * SAMPLE_WEIGHT;
    }

    /// Samples a request that may have found a backlog.
    pub fn on_sample(
        &mut self,
        sample: &PrefillSample,
    ) {
        let Some(prefill_us) = sample.prefill_us() else {
            return;
        };
        let speed = (1_000_000.0 / prefill_us).max(MIN_TOKENS_PER_MS);
        let ratio = speed / self.loaded_tokens_per_ms;
        let ratio = ratio.clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
        self.loaded_tokens_per_ms *= ratio.powf(SAMPLE_WEIGHT);
    }

    /// Returns the throughput of engines with a backlog, in tokens per millisecond.
    pub fn loaded_tokens_per_ms(&self) -> f64 {
        self.loaded_tokens_per_ms
    }

    /// Records the size of a request's prompt, in tokens.
    pub fn on_prompt(
        &mut self,
        tokens: u32,
    ) {
        let tokens = f64::from(tokens);
        let weight = match self.mean_tokens {
            0.0 => 1.0,
            _ => PROMPT_SIZE_WEIGHT,
        };
        self.mean_tokens += (tokens - self.mean_tokens) * weight;
        self.mean_square += (tokens * tokens - self.mean_square) * weight;
    }

    /// Returns the expected size of the prompt in prefill when another request arrives, in tokens.
    ///
    /// The mean is weighted by size, as long prompts are met more often than short ones.
    pub fn mean_prompt_in_prefill(&self) -> u64 {
        match self.mean_tokens {
            0.0 => u64::MAX,
            mean => (self.mean_square / mean) as u64,
        }
    }

    /// Returns the estimates of an engine whose speed is this multiple of the service's.
    pub fn scaled(
        &self,
        relative_speed: f64,
    ) -> Self {
        Self {
            tokens_per_ms: self.tokens_per_ms * relative_speed,
            loaded_tokens_per_ms: self.loaded_tokens_per_ms * relative_speed,
            ..*self
        }
    }

    /// Returns the time in which an engine with a backlog reads this many tokens.
    pub fn read_time(
        &self,
        tokens: u64,
    ) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.loaded_tokens_per_ms / 1000.0)
    }

    /// Returns the expected time to the first event of a prompt of this many tokens.
    pub fn prefill_time(
        &self,
        tokens: u64,
    ) -> Duration {
        Duration::from_secs_f64((tokens as f64 / self.tokens_per_ms + FIXED_MS) / 1000.0)
    }
}

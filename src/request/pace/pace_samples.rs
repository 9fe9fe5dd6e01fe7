use {crate::connection::datagram::PaceReport, std::time::Duration};

/// Samples with fewer tokens are dropped, as the fixed time dominates them.
pub const MIN_SAMPLE_TOKENS: u64 = 400;

/// Fixed time to the first event besides the prefill, in milliseconds.
pub const FIXED_MS: f64 = 15.0;

/// Number of tokens to which prefill times in reports and profiles refer.
pub(super) const TOKENS_PER_UNIT: f64 = 1_000.0;

pub(super) const US_PER_MS: f64 = 1_000.0;

/// The wait of one request for its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillSample {
    /// Prompt tokens that the engine had to read: those queued before the request, and its own.
    pub tokens: u64,
    /// Time from the send to the first event.
    pub time: Duration,
}

impl PrefillSample {
    /// Returns the prefill time of 1,000 tokens in microseconds, or `None` if the sample is too small.
    pub fn prefill_us(&self) -> Option<f64> {
        if self.tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let prefill_ms = (self.time.as_secs_f64() * 1_000.0 - FIXED_MS).max(1.0);
        Some(prefill_ms * US_PER_MS * TOKENS_PER_UNIT / self.tokens as f64)
    }
}

/// Prefill times at one engine, collected between two reports to its holder.
///
/// The geometric mean is reported: speeds differ by factors, and one slow answer must not outweigh several fast ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSamples {
    sum_of_logs: f64,
    samples: u32,
}

impl PaceSamples {
    /// Adds a sample, unless it is too small.
    pub fn add(
        &mut self,
        sample: &PrefillSample,
    ) {
        if let Some(prefill_us) = sample.prefill_us() {
            self.sum_of_logs += prefill_us.ln();
            self.samples += 1;
        }
    }

    /// Returns the samples since the last report, and clears them.
    pub fn take(&mut self) -> Option<PaceReport> {
        let samples = std::mem::take(self);
        if samples.samples == 0 {
            return None;
        }
        let mean = (samples.sum_of_logs / f64::from(samples.samples)).exp();
        Some(PaceReport {
            prefill_us: mean.round().min(f64::from(u32::MAX)) as u32,
            samples: samples.samples,
        })
    }
}

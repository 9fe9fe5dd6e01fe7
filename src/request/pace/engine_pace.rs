use {
    super::pace_samples::{TOKENS_PER_UNIT, US_PER_MS},
    crate::connection::datagram::PaceReport,
};

/// Number of recent samples that a profile averages over: an engine answers a few long prompts a second, so that a
/// change of speed shows within seconds.
const MEMORY_SAMPLES: f64 = 8.0;

/// Largest factor by which one report may differ from the profile, and a profile from the speed of its service; beyond
/// it, this factor counts, so that one extreme answer does not decide.
const MAX_FACTOR: f64 = 4.0;

/// Number of samples at which an engine's own profile counts as much as that of its service.
const EVEN_SAMPLES: f64 = 3.0;

/// Engines whose speeds differ by no more than this factor count as equally fast: waits in a queue vary by as much, and
/// requests that follow such differences crowd the engines that looked fast a moment ago.
const EQUAL_FACTOR: f64 = 1.4;

/// Prefill pace of one incarnation of an engine, from the samples of all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePace {
    /// Prefill time of 1,000 tokens, in microseconds.
    prefill_us: f64,
    /// Samples that the profile rests on, at most `MEMORY_SAMPLES`.
    samples: f64,
}

impl EnginePace {
    /// Creates a profile from a first report; `None` if the report holds no usable sample.
    pub fn of(report: &PaceReport) -> Option<Self> {
        if report.samples == 0 || report.prefill_us == 0 {
            return None;
        }
        Some(Self {
            prefill_us: f64::from(report.prefill_us),
            samples: f64::from(report.samples).min(MEMORY_SAMPLES),
        })
    }

    /// Merges the samples of one host.
    pub fn merge(
        &mut self,
        report: &PaceReport,
    ) {
        if report.samples == 0 || report.prefill_us == 0 {
            return;
        }
        let count = f64::from(report.samples).min(MEMORY_SAMPLES);
        let ratio = f64::from(report.prefill_us) / self.prefill_us;
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let weight = count / (self.samples + count).min(MEMORY_SAMPLES).max(count);
        self.prefill_us *= ratio.powf(weight);
        self.samples = (self.samples + count).min(MEMORY_SAMPLES);
    }

    /// Returns the profile as reported to hosts.
    pub fn report(&self) -> PaceReport {
        PaceReport {
            prefill_us: self.prefill_us.round() as u32,
            samples: self.samples.round() as u32,
        }
    }

    /// Returns the prefill speed as a multiple of `service_speed`, that of the service's engines in general in tokens
    /// per millisecond.
    ///
    /// A profile of few samples counts little beside the speed of the service, and small differences do not count.
    pub fn relative_speed(
        &self,
        service_speed: f64,
    ) -> f64 {
        let own_speed = TOKENS_PER_UNIT * US_PER_MS / self.prefill_us;
        let confidence = self.samples / (self.samples + EVEN_SAMPLES);
        let ratio = (own_speed / service_speed).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let ratio = ratio.powf(confidence);
        match (1.0 / EQUAL_FACTOR..=EQUAL_FACTOR).contains(&ratio) {
            true => 1.0,
            false => ratio,
        }
    }
}

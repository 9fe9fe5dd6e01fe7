use {
    super::Site,
    crate::client::{CallResult, CallSpec, SeenOutcome},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// What callers have seen.
#[derive(Debug, Clone)]
pub struct Tally {
    pub requests: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub wrong_adapter: u64,
    pub cut_short: u64,
    pub seconds: f64,
    /// Requests that were not answered, by code.
    pub codes: BTreeMap<String, u64>,
    load_stall: Histogram<u64>,
    first_token: Histogram<u64>,
    /// Request ids and keys of which a caller was told that they were not run.
    told_not_run: BTreeSet<String>,
}

/// The figures of a run, each from what callers and stand-ins saw.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    pub site: String,
    pub requests: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub wrong_adapter: u64,
    pub run_twice: u64,
    pub cut_short: u64,
    pub unloaded_in_use: u64,
    /// Requests that a caller was told were not run, and that a target ran all the same.
    pub false_not_run: u64,
    pub load_stall_ms: Percentiles,
    pub first_token_ms: Percentiles,
    pub batch_efficiency: f64,
    pub loads: u64,
    pub seconds: f64,
    pub codes: BTreeMap<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong_adapter: 0,
            cut_short: 0,
            seconds: 0.0,
            codes: BTreeMap::new(),
            load_stall: histogram(),
            first_token: histogram(),
            told_not_run: BTreeSet::new(),
        }
    }
}

impl Tally {
    /// Counts one request's end.
    pub fn add(
        &mut self,
        result: &CallResult,
        spec: &CallSpec,
    ) {
        self.requests += 1;
        match result.outcome {
            SeenOutcome::Answered => self.answered += 1,
            SeenOutcome::NotRun => {
                self.not_run += 1;
                self.told_not_run.insert(result.request_id.clone());
                let key = spec.key.as_ref().map(|(key, _)| key.clone());
                self.told_not_run.extend(key);
            }
            SeenOutcome::Unknown => self.unknown += 1,
        }
        self.wrong_adapter += u64::from(result.wrong_adapter);
        self.cut_short += u64::from(result.cut_short);
        if result.outcome != SeenOutcome::Answered {
            *self.codes.entry(result.code.clone()).or_insert(0) += 1;
            return;
        }
        if spec.model().is_some() {
            record(&mut self.load_stall, result.load_wait);
            record(&mut self.first_token, result.first_token);
        }
    }
}

impl Summary {
    /// Joins what callers saw with what the site's stand-ins recorded.
    pub fn new(
        tally: &Tally,
        site: &Site,
    ) -> Self {
        let records: Vec<_> = site.engines.iter().map(|engine| engine.record()).collect();
        let busy: f64 = records.iter().map(|record| record.busy_slot_ms).sum();
        let room: f64 = records
            .iter()
            .map(|record| record.busy_ms * record.batch_slots as f64)
            .sum();
        let unloaded: u32 = records.iter().map(|record| record.unloaded_in_use).sum();
        let runs = plain_runs(site);
        let executions = records.iter().flat_map(|record| &record.executions);
        let ran = executions.map(|execution| &execution.request_id);
        let ran: BTreeSet<&String> = ran.chain(runs.keys()).collect();
        let false_not_run = tally
            .told_not_run
            .iter()
            .filter(|name| ran.contains(name))
            .count();
        Self {
            site: site.plan.name.to_string(),
            requests: tally.requests,
            answered: tally.answered,
            not_run: tally.not_run,
            unknown: tally.unknown,
            wrong_adapter: tally.wrong_adapter,
            run_twice: runs.values().filter(|count| **count > 1).count() as u64,
            cut_short: tally.cut_short,
            unloaded_in_use: u64::from(unloaded),
            false_not_run: false_not_run as u64,
            load_stall_ms: percentiles(&tally.load_stall),
            first_token_ms: percentiles(&tally.first_token),
            batch_efficiency: round(busy / room.max(1.0)),
            loads: records.iter().map(|record| record.loads).sum(),
            seconds: round(tally.seconds),
            codes: tally.codes.clone(),
        }
    }

    /// Promises of the brief that the run broke, in words.
    pub fn broken_promises(&self) -> Vec<String> {
        let ends = self.answered + self.not_run + self.unknown;
        let checks = [
            (self.wrong_adapter, "answers by another adapter"),
            (
                self.run_twice,
                "requests run twice that may not be repeated",
            ),
            (self.cut_short, "answers that ended early as if whole"),
            (self.unloaded_in_use, "adapters unloaded in use"),
            (self.false_not_run, "requests run that were told not run"),
            (self.requests.abs_diff(ends), "requests without an outcome"),
        ];
        let broken = checks.iter().filter(|(count, _)| *count > 0);
        broken
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }
}

/// Runs of each key over all plain services.
fn plain_runs(site: &Site) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for target in &site.plain {
        for (key, count) in target.record().runs {
            *runs.entry(key).or_insert(0) += count;
        }
    }
    runs
}

fn record(
    histogram: &mut Histogram<u64>,
    time: Duration,
) {
    // It grows as needed, so no time is too long for it.
    let _ = histogram.record(time.as_micros() as u64);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| round(histogram.value_at_quantile(quantile) as f64 / 1000.0);
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

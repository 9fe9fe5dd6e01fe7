use {
    super::{Bed, Seen},
    coveproxy::client::SeenOutcome,
    std::collections::{BTreeMap, BTreeSet},
};

/// The promises of the brief, judged from what callers saw and stand-ins recorded.
#[derive(Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub broken: Vec<String>,
    /// Requests that may be repeated and got no answer, by code.
    pub lost: BTreeMap<String, usize>,
}

impl Verdict {
    pub fn new(
        bed: &Bed,
        seen: &[Seen],
    ) -> Self {
        let mut verdict = Self::default();
        let runs = plain_runs(bed);
        let executed = executed_ids(bed);
        for seen in seen {
            verdict.judge(seen, &runs, &executed);
        }
        for (key, count) in &runs {
            if *count > 1 {
                verdict.broken.push(format!("{key} ran {count} times"));
            }
        }
        for (at, engine) in bed.engines.iter().enumerate() {
            let unloaded = engine.record().unloaded_in_use;
            if unloaded > 0 {
                let what = format!("engine-{at} unloaded {unloaded} adapters in use");
                verdict.broken.push(what);
            }
        }
        verdict
    }

    fn judge(
        &mut self,
        seen: &Seen,
        runs: &BTreeMap<String, u32>,
        executed: &BTreeSet<String>,
    ) {
        self.requests += 1;
        let last = seen.last();
        match last.outcome {
            SeenOutcome::Answered => self.answered += 1,
            SeenOutcome::NotRun => self.not_run += 1,
            SeenOutcome::Unknown => self.unknown += 1,
        }
        if seen.spec.model().is_some() && !seen.answered() {
            *self.lost.entry(last.code.clone()).or_insert(0) += 1;
        }
        for result in &seen.results {
            if result.wrong_adapter {
                self.broken.push(format!("wrong adapter: {result:?}"));
            }
            if result.cut_short {
                self.broken.push(format!("cut short: {result:?}"));
            }
            let ran = executed.contains(&result.request_id);
            if result.outcome == SeenOutcome::NotRun && ran {
                self.broken.push(format!("ran, told not run: {result:?}"));
            }
        }
        if let Some((key, _)) = &seen.spec.key {
            self.judge_key(key, seen, runs.get(key).copied().unwrap_or(0));
        }
    }

    fn judge_key(
        &mut self,
        key: &str,
        seen: &Seen,
        runs: u32,
    ) {
        let last = seen.last();
        let told_not_run = last.outcome == SeenOutcome::NotRun;
        if told_not_run && runs > 0 {
            self.broken
                .push(format!("{key} ran, told not run: {last:?}"));
        }
        if seen.answered() && runs != 1 {
            self.broken
                .push(format!("{key} answered, ran {runs} times"));
        }
        if seen.answered() && !last.text.contains(key) {
            let what = format!("{key} got another's answer: {}", last.text);
            self.broken.push(what);
        }
    }

    /// Fails the test if any promise was broken.
    pub fn assert_kept(&self) {
        assert!(
            self.broken.is_empty(),
            "promises broken: {:#?}",
            self.broken
        );
        assert_eq!(self.requests, self.answered + self.not_run + self.unknown);
        assert!(self.answered > 0, "nothing was answered");
    }

    /// Fails the test if a request that may be repeated got no answer.
    pub fn assert_none_lost(&self) {
        assert!(self.lost.is_empty(), "lost: {:?}", self.lost);
    }
}

fn plain_runs(bed: &Bed) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for target in &bed.plain {
        for (key, count) in target.record().runs {
            *runs.entry(key).or_insert(0) += count;
        }
    }
    runs
}

fn executed_ids(bed: &Bed) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    for engine in &bed.engines {
        let executions = engine.record().executions;
        ids.extend(executions.into_iter().map(|execution| execution.request_id));
    }
    ids
}

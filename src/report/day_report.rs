use {
    super::{EndCause, LogLine, ServedLine},
    serde::Serialize,
    std::collections::{BTreeMap, HashMap},
};

/// Requests of one kind or one span of time, by the cause of their end.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindCount {
    pub requests: usize,
    pub in_time: usize,
    pub by_cause: BTreeMap<&'static str, usize>,
}

impl KindCount {
    fn add(
        &mut self,
        cause: &EndCause,
    ) {
        self.requests += 1;
        match cause {
            EndCause::InTime => self.in_time += 1,
            cause => *self.by_cause.entry(cause.word()).or_default() += 1,
        }
    }
}

/// How the requests of a time went: by kind, and by span of time.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DayReport {
    pub by_route: BTreeMap<String, KindCount>,
    /// By the second at which each span begins, counted from the first line.
    pub by_time: BTreeMap<u64, KindCount>,
}

impl DayReport {
    /// Counts the requests that the lines tell the end of, in spans of so many seconds.
    pub fn of(
        lines: &[LogLine],
        span_s: u64,
    ) -> Self {
        let first = lines.iter().map(|line| line.ts_ms).fold(f64::MAX, f64::min);
        let mut by_id: HashMap<&str, Vec<&LogLine>> = HashMap::new();
        for line in lines.iter().filter(|line| line.text("id").len() > 1) {
            by_id.entry(line.text("id")).or_default().push(line);
        }
        let mut report = Self::default();
        for mut own in by_id.into_values() {
            own.sort_by(|a, b| a.happened_ms().total_cmp(&b.happened_ms()));
            let Some((line, served)) = own
                .iter()
                .find_map(|line| Some((line, ServedLine::of(line)?)))
            else {
                continue;
            };
            let cause = EndCause::of(&own);
            let second = ((served.answered_ms() - first) / 1_000.0) as u64;
            let span = second / span_s.max(1) * span_s.max(1);
            let route = line.text("route").to_string();
            report.by_route.entry(route).or_default().add(&cause);
            report.by_time.entry(span).or_default().add(&cause);
        }
        report
    }
}

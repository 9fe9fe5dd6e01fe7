use {
    super::{LogLine, ServedLine, Spread},
    crate::timeline::Event,
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// How one engine or plain target served.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EngineRow {
    /// Requests that it answered, or whose first event it sent.
    pub requests: usize,
    /// Streams with a pause that was too long because of it.
    pub late_pauses: usize,
    /// Longest pause of each stream.
    pub pause_ms: Spread,
    /// Time to the first event of each answer, from the arrival of the request.
    pub first_ms: Spread,
    /// Share of the prompt tokens of all engines.
    pub prompt_share: f64,
}

/// Requests by the target that sent the first event.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EngineReport {
    /// Rows by target id.
    pub by_engine: BTreeMap<String, EngineRow>,
}

/// What is collected for one target before the shares are known.
#[derive(Default)]
struct Samples {
    requests: usize,
    late_pauses: usize,
    pauses: Vec<f64>,
    first_events: Vec<f64>,
    prompt_tokens: u64,
}

impl Samples {
    fn add(
        &mut self,
        served: &ServedLine,
        is_resumed: bool,
    ) {
        self.requests += 1;
        self.prompt_tokens += served.prompt_tokens();
        if !served.is_success() {
            return;
        }
        self.first_events.push(served.first_ms());
        // A pause of a resumed stream may be due to another target or to the resumption itself.
        if served.is_stream() && !is_resumed {
            self.pauses.push(served.pause_ms());
            let late = served.is_pause_late() && served.is_pause_of_engine();
            self.late_pauses += usize::from(late);
        }
    }

    fn row(
        self,
        all_tokens: u64,
    ) -> EngineRow {
        EngineRow {
            requests: self.requests,
            late_pauses: self.late_pauses,
            pause_ms: Spread::of(self.pauses),
            first_ms: Spread::of(self.first_events),
            prompt_share: self.prompt_tokens as f64 / all_tokens.max(1) as f64,
        }
    }
}

impl EngineReport {
    /// Evaluates the lines of all hosts.
    pub fn of(lines: &[LogLine]) -> Self {
        let resumed: BTreeSet<&str> = lines
            .iter()
            .filter(|line| line.event == Event::RequestResumed)
            .map(|line| line.text("id"))
            .collect();
        let mut samples: BTreeMap<&str, Samples> = BTreeMap::new();
        for line in lines {
            let Some(served) = ServedLine::of(line) else {
                continue;
            };
            let target = served.text_or_dash("target");
            if target == "-" {
                continue;
            }
            let is_resumed = resumed.contains(line.text("id"));
            samples.entry(target).or_default().add(&served, is_resumed);
        }
        let all_tokens = samples.values().map(|sample| sample.prompt_tokens).sum();
        let by_engine = samples
            .into_iter()
            .map(|(target, sample)| (target.to_string(), sample.row(all_tokens)))
            .collect();
        Self { by_engine }
    }

    /// Returns the engines in the order of their median pauses, the longest first.
    pub fn slowest_first(&self) -> Vec<(&str, &EngineRow)> {
        let mut rows: Vec<(&str, &EngineRow)> = self
            .by_engine
            .iter()
            .map(|(target, row)| (target.as_str(), row))
            .collect();
        rows.sort_by(|(_, a), (_, b)| b.pause_ms.median.total_cmp(&a.pause_ms.median));
        rows
    }
}

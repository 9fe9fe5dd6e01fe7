use {
    super::{LogLine, ServedLine, least_loads},
    crate::timeline::Event,
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// What adapters cost over the time that the lines cover.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AdapterLoads {
    /// Different adapters that requests asked for.
    pub asked: usize,
    /// Loads by reason.
    pub by_reason: BTreeMap<String, usize>,
    /// Loads from the weight store.
    pub from_store: usize,
    /// Pairs of adapter and engine that these loads made.
    pub pairs: usize,
    /// Loads from the weight store of what the same engine had before.
    pub again: usize,
    /// The largest number of engines onto which one adapter was brought.
    pub most_engines: usize,
    /// Engines that had loads.
    pub engines: usize,
    /// The least number of loads from the weight store that could have served the same requests.
    pub least_from_store: usize,
}

impl AdapterLoads {
    /// Counts; engines keep `kept_per_engine` adapters each, in their places and their own memory.
    pub fn of(
        lines: &[LogLine],
        kept_per_engine: usize,
    ) -> Self {
        let mut report = Self::default();
        let mut pairs: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut engines: BTreeSet<&str> = BTreeSet::new();
        for line in lines.iter().filter(|line| is_adapter_load(line)) {
            let reason = line.text("reason");
            *report.by_reason.entry(reason.to_string()).or_default() += 1;
            engines.insert(line.text("target"));
            if reason != "held_lately" {
                report.from_store += 1;
                *pairs
                    .entry((line.text("adapter"), line.text("target")))
                    .or_default() += 1;
            }
        }
        let mut by_adapter: BTreeMap<&str, usize> = BTreeMap::new();
        for (adapter, _) in pairs.keys() {
            *by_adapter.entry(adapter).or_default() += 1;
        }
        let asked = asked_in_order(lines);
        report.asked = asked.iter().collect::<BTreeSet<_>>().len();
        report.pairs = pairs.len();
        report.again = pairs.values().map(|loads| loads - 1).sum();
        report.most_engines = by_adapter.values().copied().max().unwrap_or(0);
        report.engines = engines.len();
        report.least_from_store = least_loads(&asked, kept_per_engine * engines.len());
        report
    }
}

fn is_adapter_load(line: &LogLine) -> bool {
    line.event == Event::LoadOrdered && line.text("adapter").len() > 1
}

/// The adapter of each request that was answered, in order.
fn asked_in_order(lines: &[LogLine]) -> Vec<String> {
    let mut asked: Vec<(f64, &str)> = lines
        .iter()
        .filter_map(|line| Some((line, ServedLine::of(line)?)))
        .filter(|(line, served)| served.is_success() && line.text("adapter").len() > 1)
        .map(|(line, served)| (served.answered_ms(), line.text("adapter")))
        .collect();
    asked.sort_by(|a, b| a.0.total_cmp(&b.0));
    asked
        .into_iter()
        .map(|(_, name)| name.to_string())
        .collect()
}

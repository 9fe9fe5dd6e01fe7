use {
    super::LogLine,
    crate::timeline::Event,
    std::collections::{BTreeMap, HashMap},
};

/// By how much the hosts' clocks differ, in milliseconds, as far as the lines tell.
///
/// All hosts note the same configuration, version of an adapter or target within milliseconds, so the
/// median of the differences of these times is that of their clocks.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClockOffsets {
    /// What is to be taken off a host's times.
    by_host: BTreeMap<String, f64>,
}

impl ClockOffsets {
    /// Estimates the offsets against one host's clock.
    pub fn estimate(
        lines: &[LogLine],
        reference: &str,
    ) -> Self {
        let mut seen: HashMap<String, BTreeMap<&str, f64>> = HashMap::new();
        for line in lines {
            if let Some(key) = shared_key(line) {
                let times = seen.entry(key).or_default();
                times.entry(&line.host).or_insert(line.ts_ms);
            }
        }
        let mut differences: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for times in seen.values() {
            let Some(base) = times.get(reference) else {
                continue;
            };
            for (host, time) in times {
                let of_host = differences.entry(host.to_string()).or_default();
                of_host.push(time - base);
            }
        }
        let by_host = differences
            .into_iter()
            .map(|(host, values)| (host, median(values)))
            .collect();
        Self { by_host }
    }

    /// The offset of a host's clock; zero if nothing is known of it.
    pub fn of(
        &self,
        host: &str,
    ) -> f64 {
        self.by_host.get(host).copied().unwrap_or(0.0)
    }
}

/// What all hosts note of the same fact.
fn shared_key(line: &LogLine) -> Option<String> {
    let fact = match line.event {
        Event::ConfigApplied => line.text("version").to_string(),
        Event::AdapterVersionSeen => format!("{}@{}", line.text("adapter"), line.text("version")),
        Event::TargetListed => line.text("target").to_string(),
        _ => return None,
    };
    Some(format!("{} {fact}", line.event.word()))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

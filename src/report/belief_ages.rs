use {super::LogLine, crate::timeline::Event, serde::Serialize, std::collections::BTreeMap};

/// How old one table was when requests were routed or sent by it, as far as that came near its bound.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TableAges {
    /// Seconds of hosts in which an age came near the bound.
    pub seconds: usize,
    pub largest_ms: f64,
    pub bound_ms: f64,
    /// The host that had the largest age.
    pub host: String,
}

/// The ages of what requests rested on, by table.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BeliefReport {
    pub by_table: BTreeMap<&'static str, TableAges>,
    /// Requests that were held back until a belief was confirmed, and those that were turned away.
    pub held: usize,
    pub turned_away: usize,
}

impl BeliefReport {
    pub fn of(lines: &[LogLine]) -> Self {
        let mut report = Self::default();
        for line in lines {
            match line.event {
                Event::BeliefsAged => report.add(line),
                Event::RequestHeld if line.text("confirmed") == "true" => report.held += 1,
                Event::RequestHeld => report.turned_away += 1,
                _ => {}
            }
        }
        report
    }

    fn add(
        &mut self,
        line: &LogLine,
    ) {
        for (table, age, bound) in [
            ("declared", "declared_ms", "declared_bound_ms"),
            ("targets", "targets_ms", "targets_bound_ms"),
        ] {
            let age = line.number(age).unwrap_or(0.0);
            let ages = self.by_table.entry(table).or_default();
            ages.seconds += 1;
            ages.bound_ms = line.number(bound).unwrap_or(0.0);
            if age > ages.largest_ms {
                ages.largest_ms = age;
                ages.host.clone_from(&line.host);
            }
        }
    }
}

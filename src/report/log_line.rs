use {
    crate::timeline::Event,
    std::{
        collections::BTreeMap,
        io::{self, BufRead},
    },
};

/// Begins what a host writes; whatever gathers lines may put something before it.
const LINE_START: &str = "ts=";

/// One line that a host wrote.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of day on that host, in milliseconds since 1970.
    pub ts_ms: f64,
    pub host: String,
    pub event: Event,
    /// What the event tells, in its words.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Understands a line; `None` for one that no host wrote, or whose event is not known.
    pub fn parse(line: &str) -> Option<Self> {
        let mut fields: BTreeMap<String, String> = line[line.find(LINE_START)?..]
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        Some(Self {
            ts_ms: fields.remove("ts")?.parse().ok()?,
            host: fields.remove("host")?,
            event: Event::named(&fields.remove("name")?)?,
            fields,
        })
    }

    /// A field's text; empty if the line lacks it.
    pub fn text(
        &self,
        field: &str,
    ) -> &str {
        self.fields.get(field).map_or("", String::as_str)
    }

    /// A field's number, if it is there and is one.
    pub fn number(
        &self,
        field: &str,
    ) -> Option<f64> {
        self.text(field).parse().ok()
    }

    /// When it happened on the host's clock, in milliseconds: steps of a request are told at its end.
    pub fn happened_ms(&self) -> f64 {
        self.ts_ms - self.number("ago_ms").unwrap_or(0.0)
    }
}

/// Reads all lines that hosts wrote; others are passed over.
pub fn read_lines(from: impl BufRead) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in from.split(b'\n') {
        let line = line?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(lines)
}

use {
    super::Event,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        fmt::Write,
        sync::{Arc, Mutex},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Events kept in memory; older ones are counted as lost.
const KEPT: usize = 4096;

/// One event that happened on a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// Grows by one with each event of the process.
    pub sequence: u64,
    /// Wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    pub host: String,
    pub number: u16,
    pub word: String,
    /// `name=value` pairs.
    pub detail: String,
}

/// Writes events to the log and keeps the newest in bounded memory.
#[derive(Debug, Clone)]
pub struct EventLog {
    host: Arc<str>,
    kept: Arc<Mutex<Kept>>,
}

#[derive(Debug, Default)]
struct Kept {
    events: VecDeque<LoggedEvent>,
    sequence: u64,
}

impl EventLog {
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            kept: Arc::default(),
        }
    }

    /// Notes an event with its details.
    pub fn note(
        &self,
        event: Event,
        details: &[(&str, &dyn std::fmt::Display)],
    ) {
        let kept = event.level() <= log::Level::Info;
        if !kept && !log::log_enabled!(event.level()) {
            return;
        }
        let mut detail = String::new();
        for (name, value) in details {
            let gap = if detail.is_empty() { "" } else { " " };
            let _ = write!(detail, "{gap}{name}={value}");
        }
        let (number, word, host) = (event.number(), event.word(), &self.host);
        log::log!(event.level(), "E{number} {word} host={host} {detail}");
        if kept {
            self.keep(event, detail);
        }
    }

    /// Events with a sequence number above `after`, and how many of those were lost.
    pub fn after(
        &self,
        after: u64,
    ) -> (Vec<LoggedEvent>, u64) {
        let kept = self.kept.lock().expect("no holder panics");
        let events: Vec<LoggedEvent> = kept
            .events
            .iter()
            .filter(|event| event.sequence > after)
            .cloned()
            .collect();
        let lost = kept.sequence.saturating_sub(after) - events.len() as u64;
        (events, lost)
    }

    fn keep(
        &self,
        event: Event,
        detail: String,
    ) {
        let at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let mut kept = self.kept.lock().expect("no holder panics");
        kept.sequence += 1;
        let logged = LoggedEvent {
            sequence: kept.sequence,
            at_ms,
            host: self.host.to_string(),
            number: event.number(),
            word: event.word().to_string(),
            detail,
        };
        kept.events.push_back(logged);
        if kept.events.len() > KEPT {
            kept.events.pop_front();
        }
    }
}

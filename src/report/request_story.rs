use {
    super::{ClockOffsets, EndCause, LogLine, ServedLine},
    crate::timeline::Event,
    std::collections::{BTreeMap, BTreeSet},
};

/// Lines about the request's targets and adapter count from so long before it arrived, in milliseconds.
const BEFORE_MS: f64 = 2_000.0;

/// Fields that say when a line was written, and differ in lines that say the same.
const TIMES_OF_LINES: [&str; 2] = ["up_us", "ago_ms"];

/// Events of other matters that bear on a request at one of its targets.
const TARGET_EVENTS: [Event; 6] = [
    Event::TargetLeaving,
    Event::TargetVanished,
    Event::TargetLost,
    Event::TargetForgotten,
    Event::OrderUnanswered,
    Event::OrderRefused,
];

/// Events of the request's adapter.
const ADAPTER_EVENTS: [Event; 4] = [
    Event::LoadOrdered,
    Event::LoadDone,
    Event::DropOrdered,
    Event::AdapterVersionSeen,
];

/// One thing that happened.
#[derive(Debug, Clone, PartialEq)]
pub struct StoryStep {
    /// Since the request arrived, in milliseconds; negative before that.
    pub at_ms: f64,
    pub host: String,
    pub event: Event,
    /// What the host knew and decided.
    pub fields: BTreeMap<String, String>,
    /// Lines that said the same, one after the other.
    pub times: usize,
}

impl StoryStep {
    fn says_the_same(
        &self,
        other: &Self,
    ) -> bool {
        let told = |step: &Self| -> Vec<(String, String)> {
            let fields = step.fields.iter();
            fields
                .filter(|(name, _)| !TIMES_OF_LINES.contains(&name.as_str()))
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect()
        };
        self.host == other.host && self.event == other.event && told(self) == told(other)
    }
}

/// What happened to one request, in order, with what bears on it at other hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestStory {
    pub id: String,
    pub steps: Vec<StoryStep>,
    pub cause: EndCause,
}

impl RequestStory {
    /// Puts a request's story together; `None` if no line names it.
    pub fn of(
        lines: &[LogLine],
        id: &str,
    ) -> Option<Self> {
        let mut own: Vec<&LogLine> = lines.iter().filter(|line| line.text("id") == id).collect();
        own.sort_by(|a, b| a.happened_ms().total_cmp(&b.happened_ms()));
        let host = own.first()?.host.clone();
        let offsets = ClockOffsets::estimate(lines, &host);
        let cause = EndCause::of(&own);
        let (begin, end) = span(&own);
        let about = Subjects::of(&own);
        let mut steps: Vec<StoryStep> = lines
            .iter()
            .filter(|line| line.text("id") == id || about.concern(line))
            .map(|line| StoryStep {
                at_ms: line.happened_ms() - offsets.of(&line.host) - begin,
                host: line.host.clone(),
                event: line.event,
                fields: line.fields.clone(),
                times: 1,
            })
            .filter(|step| step.at_ms >= -BEFORE_MS && step.at_ms <= end - begin + 1.0)
            .collect();
        steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        steps.dedup_by(|later, first| {
            let same = later.says_the_same(first);
            first.times += usize::from(same) * later.times;
            same
        });
        Some(Self {
            id: id.to_string(),
            steps,
            cause,
        })
    }
}

/// When the request arrived and when its last line was written, on its host's clock.
fn span(own: &[&LogLine]) -> (f64, f64) {
    let arrived = |line: &&LogLine| {
        let served = ServedLine::of(line).map(|served| served.total_ms());
        let passed = served.or(line.number("after_ms"));
        line.happened_ms() - passed.unwrap_or(0.0)
    };
    let begin = own.iter().map(arrived).fold(f64::INFINITY, f64::min);
    let end = own.iter().map(|line| line.ts_ms).fold(begin, f64::max);
    (begin, end)
}

/// What a request has to do with.
struct Subjects<'a> {
    targets: BTreeSet<&'a str>,
    /// `MODEL/ADAPTER`, or empty.
    adapter: &'a str,
}

impl<'a> Subjects<'a> {
    fn of(own: &[&'a LogLine]) -> Self {
        let named = |field| own.iter().map(move |line| line.text(field));
        Self {
            targets: named("target").filter(|target| target.len() > 1).collect(),
            adapter: named("adapter").find(|name| name.len() > 1).unwrap_or(""),
        }
    }

    fn concern(
        &self,
        line: &LogLine,
    ) -> bool {
        if TARGET_EVENTS.contains(&line.event) {
            return self.targets.contains(line.text("target"));
        }
        ADAPTER_EVENTS.contains(&line.event)
            && !self.adapter.is_empty()
            && self.adapter == adapter(line)
    }
}

/// `MODEL/ADAPTER` of a line; orders name the two apart.
fn adapter(line: &LogLine) -> String {
    match line.text("model") {
        "" => line.text("adapter").to_string(),
        model => format!("{model}/{}", line.text("adapter")),
    }
}

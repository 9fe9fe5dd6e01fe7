use {
    crate::{
        clock::Instant,
        metrics::{KindLabels, metrics},
        note,
        timeline::Event,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Wakes are judged over such a time.
const PERIOD: Duration = Duration::from_secs(1);

/// More wakes than this in a period are out of bound: ten times what a host of the grown sites has at
/// its peak (some 200 messages and 45 ticks a second).
const MOST_WAKES: u32 = 2_500;

/// A step that takes longer holds news up for longer than hosts wait for one another.
const LONGEST_STEP: Duration = Duration::from_millis(100);

/// Wakes of one kind within a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WakeCount {
    pub wakes: u32,
    pub busy: Duration,
    pub longest: Duration,
}

/// A period of the control thread that was out of bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BusyPeriod {
    pub wakes: u32,
    pub busy: Duration,
    pub longest: Duration,
    /// The kind of wake that took the most time, and what it took.
    pub worst: &'static str,
    pub of_worst: WakeCount,
}

/// Counts and times the wakes of the control thread by what caused them, so that a host that uses up
/// its processor tells why.
#[derive(Debug)]
pub struct WakeWatch {
    since: Instant,
    by_kind: BTreeMap<&'static str, WakeCount>,
}

impl WakeWatch {
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            by_kind: BTreeMap::new(),
        }
    }

    /// A wake of this kind took from `begun` to `ended`; gives the period that is over, if it was out
    /// of bound.
    pub fn on_wake(
        &mut self,
        kind: &'static str,
        begun: Instant,
        ended: Instant,
    ) -> Option<BusyPeriod> {
        let time = ended.saturating_duration_since(begun);
        let count = self.by_kind.entry(kind).or_default();
        count.wakes += 1;
        count.busy += time;
        count.longest = count.longest.max(time);
        if ended.saturating_duration_since(self.since) < PERIOD {
            return None;
        }
        self.since = ended;
        judge(std::mem::take(&mut self.by_kind))
    }
}

fn judge(by_kind: BTreeMap<&'static str, WakeCount>) -> Option<BusyPeriod> {
    let (worst, of_worst) = by_kind
        .iter()
        .max_by_key(|(_, count)| (count.busy, count.wakes))?;
    let period = BusyPeriod {
        wakes: by_kind.values().map(|count| count.wakes).sum(),
        busy: by_kind.values().map(|count| count.busy).sum(),
        longest: by_kind.values().map(|count| count.longest).max()?,
        worst,
        of_worst: *of_worst,
    };
    let out_of_bound = period.wakes > MOST_WAKES || period.longest > LONGEST_STEP;
    out_of_bound.then_some(period)
}

/// Counts a wake in the figures of this host, and tells of a period that was out of bound.
pub fn tell_wake(
    watch: &mut WakeWatch,
    kind: &'static str,
    begun: Instant,
) {
    let ended = Instant::now();
    let labels = KindLabels { kind };
    let metrics = metrics();
    metrics.control_wakes.get_or_create(&labels).inc();
    let busy_us = ended.saturating_duration_since(begun).as_micros() as u64;
    metrics
        .control_busy_us
        .get_or_create(&labels)
        .inc_by(busy_us);
    let Some(period) = watch.on_wake(kind, begun, ended) else {
        return;
    };
    note!(
        Event::ControlBusy,
        wakes = period.wakes,
        busy_ms = period.busy.as_millis(),
        longest_ms = period.longest.as_millis(),
        worst = period.worst,
        worst_wakes = period.of_worst.wakes,
        worst_busy_ms = period.of_worst.busy.as_millis(),
    );
}

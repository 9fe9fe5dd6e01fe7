use {
    crate::{
        clock::Instant,
        metrics::{KindLabels, metrics},
        note,
        timeline::Event,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Length of the window over which wakes are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// More wakes than this in a window are excessive.
const MAX_WAKES: u32 = 2_500;

/// A longer wake is excessive: it delays answers beyond the timeouts of other hosts.
const MAX_WAKE_DURATION: Duration = Duration::from_millis(100);

/// Wakes of one kind within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WakeStats {
    pub wakes: u32,
    pub busy: Duration,
    pub longest: Duration,
}

/// A window in which the control thread woke too often or for too long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BusyWindow {
    pub wakes: u32,
    pub busy: Duration,
    pub longest: Duration,
    /// The kind of wake that took the most time.
    pub worst: &'static str,
    pub worst_stats: WakeStats,
}

/// Counts and times the wakes of the control thread by kind, to report what keeps it busy.
#[derive(Debug)]
pub struct WakeMonitor {
    since: Instant,
    by_kind: BTreeMap<&'static str, WakeStats>,
}

impl WakeMonitor {
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            by_kind: BTreeMap::new(),
        }
    }

    /// Records a wake from `started` to `ended`; returns the window if it has ended and was excessive.
    pub fn record(
        &mut self,
        kind: &'static str,
        started: Instant,
        ended: Instant,
    ) -> Option<BusyWindow> {
        let time = ended.saturating_duration_since(started);
        let count = self.by_kind.entry(kind).or_default();
        count.wakes += 1;
        count.busy += time;
        count.longest = count.longest.max(time);
        if ended.saturating_duration_since(self.since) < WINDOW {
            return None;
        }
        self.since = ended;
        find_excess(std::mem::take(&mut self.by_kind))
    }
}

fn find_excess(by_kind: BTreeMap<&'static str, WakeStats>) -> Option<BusyWindow> {
    let (worst, worst_stats) = by_kind
        .iter()
        .max_by_key(|(_, count)| (count.busy, count.wakes))?;
    let window = BusyWindow {
        wakes: by_kind.values().map(|count| count.wakes).sum(),
        busy: by_kind.values().map(|count| count.busy).sum(),
        longest: by_kind.values().map(|count| count.longest).max()?,
        worst,
        worst_stats: *worst_stats,
    };
    let is_excessive = window.wakes > MAX_WAKES || window.longest > MAX_WAKE_DURATION;
    is_excessive.then_some(window)
}

/// Counts a wake in the metrics and logs the window if it has ended and was excessive.
pub fn record_wake(
    monitor: &mut WakeMonitor,
    kind: &'static str,
    started: Instant,
) {
    let ended = Instant::now();
    let labels = KindLabels { kind };
    let metrics = metrics();
    metrics.control_wakes.get_or_create(&labels).inc();
    let busy_us = ended.saturating_duration_since(started).as_micros() as u64;
    metrics
        .control_busy_us
        .get_or_create(&labels)
        .inc_by(busy_us);
    let Some(window) = monitor.record(kind, started, ended) else {
        return;
    };
    note!(
        Event::ControlBusy,
        wakes = window.wakes,
        busy_ms = window.busy.as_millis(),
        longest_ms = window.longest.as_millis(),
        worst = window.worst,
        worst_wakes = window.worst_stats.wakes,
        worst_busy_ms = window.worst_stats.busy.as_millis(),
    );
}

//! What the benchmarks share: figures of processes, and percentiles.
#![allow(dead_code)]

use std::time::Duration;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: f64 = 100.0;

/// Processor time that a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in brackets may hold spaces; utime and stime follow 11 fields after it.
    let after = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after.split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS
}

/// Memory that a process holds, in KiB.
pub fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// A percentile of times, in milliseconds.
pub fn percentile(
    times: &mut [Duration],
    share: f64,
) -> f64 {
    if times.is_empty() {
        return f64::NAN;
    }
    times.sort_unstable();
    let at = ((times.len() - 1) as f64 * share).round() as usize;
    times[at].as_secs_f64() * 1000.0
}

/// The three percentiles that the pages give, in milliseconds.
pub fn percentiles(times: &mut [Duration]) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|share| percentile(times, share))
}

/// Median of some figures.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}

use serde::Serialize;

/// Median and 90th percentile of some measured times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// 50th percentile.
    pub median: f64,
    /// 90th percentile.
    pub p90: f64,
}

impl Spread {
    /// Computes both from the values; zeros if there are none.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (values.len() as f64 * share) as usize;
            let last = values.len().saturating_sub(1);
            values.get(index.min(last)).copied().unwrap_or_default()
        };
        Self {
            median: at(0.5),
            p90: at(0.9),
        }
    }
}

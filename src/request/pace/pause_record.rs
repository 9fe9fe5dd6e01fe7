/// Weight of one stream in the moving average: the record follows a change within the streams of some seconds.
const STREAM_WEIGHT: f64 = 0.05;

/// Share of late streams from which on pauses count as frequent.
const FREQUENT_SHARE: f64 = 0.15;

/// How often the streams of a service were late by a pause, as seen by this host.
///
/// Holding requests back costs each of them time. That pays only while pauses do make streams late: an engine that
/// reads for longer than a stream may pause can still send events often enough.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PauseRecord {
    /// Moving average of the share of late streams.
    late_share: f64,
}

impl PauseRecord {
    /// Records a stream that has ended.
    pub fn on_end(
        &mut self,
        paused_too_long: bool,
    ) {
        let late = f64::from(u8::from(paused_too_long));
        self.late_share += (late - self.late_share) * STREAM_WEIGHT;
    }

    /// Returns true if pauses often make streams late.
    pub fn is_frequent(&self) -> bool {
        self.late_share >= FREQUENT_SHARE
    }
}

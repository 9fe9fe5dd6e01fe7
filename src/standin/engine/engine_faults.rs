use serde::{Deserialize, Serialize};

/// Faults that an engine's stand-in shows; `Default` shows none.
///
/// Each count is taken down by one as a request or order meets it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Answers that name another adapter.
    pub foreign_adapter: u32,
    /// Answers that bear another request's id.
    pub foreign_id: u32,
    /// Streams that send one event twice.
    pub doubled_event: u32,
    /// Streams that leave one event out.
    pub skipped_event: u32,
    /// Streams whose events are out of order.
    pub swapped_events: u32,
    /// Streams that end after a few tokens without an end mark.
    pub cut_short: u32,
    /// Requests that are refused, not run.
    pub refuse: u32,
    /// Requests that run and whose answer never starts.
    pub lose_answers: u32,
    /// Loads that fail.
    pub fail_loads: u32,
    /// Loads that never end.
    pub hang_loads: u32,
    /// Orders that take effect and lose their reply.
    pub lose_orders: u32,
    /// Each request waits this long before it starts, in milliseconds.
    pub late_ms: u64,
}

impl EngineFaults {
    /// Takes one of a counted fault.
    pub fn take(count: &mut u32) -> bool {
        let taken = *count > 0;
        *count = count.saturating_sub(1);
        taken
    }
}

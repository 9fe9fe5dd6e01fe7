use serde::{Deserialize, Serialize};

/// Faults that the platform's stand-in shows; `Default` shows none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// The table refuses every call.
    pub table_down: bool,
    /// Each call to the table takes this long before it acts, in milliseconds.
    pub table_slow_ms: u64,
    /// So many of the next transactions take effect and lose their reply.
    pub lose_replies: u32,
    /// The object store refuses every call.
    pub objects_down: bool,
    /// No fetch of weights succeeds.
    pub weights_down: bool,
    /// Fetches take so many times as long; 0 counts as 1.
    pub weights_slow: f64,
    /// The host list shows what was set so long ago, in milliseconds.
    pub hosts_lag_ms: u64,
}

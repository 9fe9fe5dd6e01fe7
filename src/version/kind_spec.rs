use serde::{Deserialize, Serialize};

/// A kind of request, with the defaults that a caller may narrow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Higher runs first; 0 to 9.
    pub priority: u8,
    /// Time to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// True for work that waits behind all live work.
    #[serde(default)]
    pub batch: bool,
    /// Whether a request of this kind may run more than once.
    pub repeatable: bool,
}

impl KindSpec {
    /// The highest priority that a kind may have.
    pub const MAX_PRIORITY: u8 = 9;
}

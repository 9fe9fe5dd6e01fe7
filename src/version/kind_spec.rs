use serde::{Deserialize, Serialize};

/// A kind of request, with defaults that a caller may restrict further.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Higher runs first; 0 to 9.
    pub priority: u8,
    /// Time to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Requests of this kind run only after all interactive ones.
    #[serde(default)]
    pub batch: bool,
    /// Requests of this kind may run more than once.
    pub repeatable: bool,
}

impl KindSpec {
    pub const MAX_PRIORITY: u8 = 9;
}

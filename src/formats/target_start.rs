use std::fmt;

/// Incarnation of a target's process, identified by its start time; later incarnations are larger.
///
/// Only incarnations of the same target are comparable. State known of an earlier incarnation is invalid for a
/// later one, which starts with nothing loaded and counts its orders from zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetStart(u64);

impl TargetStart {
    /// Creates the incarnation started at this Unix time, in milliseconds.
    pub fn from_unix_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the start as a Unix time, in milliseconds.
    pub fn unix_ms(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TargetStart {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

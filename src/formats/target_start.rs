use std::fmt;

/// Tells the starts of one target's process apart: a larger one is a later start.
///
/// Of two targets it says nothing. What was known of an earlier start does not hold for a later one, which
/// begins empty and counts its orders from zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetStart(u64);

impl TargetStart {
    /// A start at this Unix time, in milliseconds.
    pub fn from_unix_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Its Unix time, in milliseconds.
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

use crate::clock::Instant;

/// The latest statement of a target that it falls over if it has to turn away more than some requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Brittleness {
    /// Rejections per second that it bears, from all hosts together.
    pub rejections: f64,
    /// When a host last received a response that confirms this state.
    pub reported_at: Instant,
    /// The last response no longer said so.
    pub ended: bool,
}

impl Brittleness {
    /// Merges the states of two hosts: the later report wins, and at equal times the lower bound.
    pub fn merge(
        self,
        other: Self,
    ) -> Self {
        let rank = |state: &Self| (state.reported_at, !state.ended);
        match rank(&self).cmp(&rank(&other)) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal if self.rejections <= other.rejections => self,
            std::cmp::Ordering::Equal => other,
        }
    }
}

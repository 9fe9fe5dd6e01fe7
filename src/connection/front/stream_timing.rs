use {crate::clock::Instant, std::time::Duration};

/// Pauses between the events of one relayed stream, split into the time spent waiting for the target and the time for
/// which this host held events back.
///
/// A piece is held back while the buffer to the caller is full: the caller, its link or this host is too slow. Streams
/// of an overloaded engine pause; without the split, callers that do not read would be attributed to the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTiming {
    last_handed_over: Option<Instant>,
    longest_pause: Duration,
    longest_gap: Duration,
    held: Duration,
}

impl StreamTiming {
    /// Records an event that arrived from the target and was then handed over to the caller's connection.
    pub fn on_event(
        &mut self,
        arrived: Instant,
        handed_over: Instant,
    ) {
        if let Some(last) = self.last_handed_over.replace(handed_over) {
            let pause = arrived.saturating_duration_since(last);
            let gap = handed_over.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.on_held(arrived, handed_over);
    }

    /// Records the time for which an event was held back.
    pub fn on_held(
        &mut self,
        arrived: Instant,
        until: Instant,
    ) {
        self.held += until.saturating_duration_since(arrived);
    }

    /// Returns the longest time that this host waited for the target between two events, without the time for which it
    /// held events back itself.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Returns the longest time between two events handed over, whoever caused it.
    pub fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Returns the total time for which this host held events back.
    pub fn held(&self) -> Duration {
        self.held
    }
}

use {super::LogLine, crate::timeline::Event};

/// A line `request_served`, read in the forms of this and of earlier versions.
#[derive(Debug, Clone, Copy)]
pub struct ServedLine<'a> {
    line: &'a LogLine,
}

impl<'a> ServedLine<'a> {
    /// Wraps a line `request_served`; returns `None` for other lines.
    pub fn of(line: &'a LogLine) -> Option<Self> {
        (line.event == Event::RequestServed).then_some(Self { line })
    }

    /// Returns true if the first event, or the answer that is no stream, came late.
    pub fn is_first_event_late(&self) -> bool {
        // `true` stands in logs of earlier versions, which judge the first event alone.
        ["first_event", "both", "true"].contains(&self.line.text("late"))
    }

    /// Returns true if a pause between two events was too long for the caller.
    pub fn is_pause_late(&self) -> bool {
        ["pause", "both"].contains(&self.line.text("late"))
    }

    /// Returns true if waiting for the target alone made a pause too long; otherwise this host held events back.
    pub fn is_pause_of_engine(&self) -> bool {
        self.pause_ms() > self.allowed_pause_ms()
    }

    /// Returns true for a successful answer that was sent completely and met all objectives.
    pub fn is_in_time(&self) -> bool {
        let whole = ["whole", ""].contains(&self.line.text("ended"));
        self.is_success() && whole && !self.is_first_event_late() && !self.is_pause_late()
    }

    /// Returns true if the status is 2xx.
    pub fn is_success(&self) -> bool {
        self.line.text("status").starts_with('2')
    }

    /// Returns true if the caller was told that the request has not run.
    pub fn is_rejection(&self) -> bool {
        ["429", "503"].contains(&self.line.text("status")) && self.line.text("cause") != "-"
    }

    /// Returns true if the answer was a stream: only lines of streams have a pause that is not negative.
    pub fn is_stream(&self) -> bool {
        self.line
            .number("pause_ms")
            .is_some_and(|pause| pause >= 0.0)
    }

    /// Returns the longest pause between two events, in milliseconds; 0 if the line has none.
    pub fn pause_ms(&self) -> f64 {
        self.line.number("pause_ms").unwrap_or(0.0)
    }

    /// Returns the allowed pause between two events, in milliseconds; 0 if the line has none.
    pub fn allowed_pause_ms(&self) -> f64 {
        self.line.number("allowed_pause_ms").unwrap_or(0.0)
    }

    /// Returns the time for which the host held events back, in milliseconds; 0 if the line has none.
    pub fn held_ms(&self) -> f64 {
        self.line.number("held_ms").unwrap_or(0.0)
    }

    /// Returns the time from the request's arrival to the answer or its first event, in milliseconds.
    pub fn first_ms(&self) -> f64 {
        self.line.number("first_ms").unwrap_or(0.0)
    }

    /// Returns the time from the request's arrival to this line, in milliseconds. Earlier versions wrote the line at
    /// the first event.
    pub fn total_ms(&self) -> f64 {
        self.line
            .number("total_ms")
            .unwrap_or_else(|| self.first_ms())
    }

    /// Returns when the answer or its first event arrived, on the host's clock.
    pub fn answered_ms(&self) -> f64 {
        self.line.ts_ms - (self.total_ms() - self.first_ms())
    }

    /// Returns the number of prompt tokens; 0 if the line has none.
    pub fn prompt_tokens(&self) -> u64 {
        self.line.number("prompt_tokens").unwrap_or(0.0) as u64
    }

    /// Returns a field's text; `-` if the line lacks it.
    pub fn text_or_dash(
        &self,
        field: &str,
    ) -> &'a str {
        match self.line.text(field) {
            "" => "-",
            text => text,
        }
    }
}

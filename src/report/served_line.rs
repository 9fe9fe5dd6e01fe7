use {super::LogLine, crate::timeline::Event};

/// A line `request_served`, read in the forms of this and of earlier versions.
#[derive(Debug, Clone, Copy)]
pub struct ServedLine<'a> {
    line: &'a LogLine,
}

impl<'a> ServedLine<'a> {
    /// Returns `None` for other lines.
    pub fn of(line: &'a LogLine) -> Option<Self> {
        (line.event == Event::RequestServed).then_some(Self { line })
    }

    /// Returns true if the first event, or the answer that is no stream, came late.
    pub fn is_first_event_late(&self) -> bool {
        // Hosts wrote `true` while only first events were measured.
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

    pub fn is_success(&self) -> bool {
        self.line.text("status").starts_with('2')
    }

    /// Returns true if the caller was told that the request has not run.
    pub fn is_rejection(&self) -> bool {
        ["429", "503"].contains(&self.line.text("status")) && self.line.text("cause") != "-"
    }

    pub fn is_stream(&self) -> bool {
        self.line
            .number("pause_ms")
            .is_some_and(|pause| pause >= 0.0)
    }

    pub fn pause_ms(&self) -> f64 {
        self.line.number("pause_ms").unwrap_or(0.0)
    }

    pub fn allowed_pause_ms(&self) -> f64 {
        self.line.number("allowed_pause_ms").unwrap_or(0.0)
    }

    pub fn held_ms(&self) -> f64 {
        self.line.number("held_ms").unwrap_or(0.0)
    }

    pub fn first_ms(&self) -> f64 {
        self.line.number("first_ms").unwrap_or(0.0)
    }

    /// Time from the request's arrival to this line. Earlier versions wrote the line at the first event.
    pub fn total_ms(&self) -> f64 {
        self.line
            .number("total_ms")
            .unwrap_or_else(|| self.first_ms())
    }

    /// When the answer or its first event was there, on the host's clock.
    pub fn answered_ms(&self) -> f64 {
        self.line.ts_ms - (self.total_ms() - self.first_ms())
    }

    pub fn prompt_tokens(&self) -> u64 {
        self.line.number("prompt_tokens").unwrap_or(0.0) as u64
    }

    /// Returns a field's text, `-` if the line lacks it.
    pub fn name(
        &self,
        field: &str,
    ) -> &'a str {
        match self.line.text(field) {
            "" => "-",
            text => text,
        }
    }
}

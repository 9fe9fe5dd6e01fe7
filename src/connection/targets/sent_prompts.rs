//! Prompts that are still to be reported to the holder of an engine.

use {crate::connection::datagram::SentPrompt, std::collections::VecDeque};

/// Maximum prompts in one report.
pub const MAX_REPORTED_PROMPTS: usize = 16;

/// Maximum parts in one report, so that it fits in one packet: a part takes 15 bytes.
const MAX_REPORTED_PARTS: usize = 64;

/// Maximum prompts that wait for a report, for example while the engine has no holder. Earlier ones are dropped first.
const MAX_QUEUED: usize = 64;

/// Queue of the prompts that this host has sent to one engine and not reported.
#[derive(Debug, Default)]
pub struct SentPrompts {
    queue: VecDeque<SentPrompt>,
}

impl SentPrompts {
    /// Queues a prompt; drops the oldest one if the queue is full.
    pub fn push(
        &mut self,
        prompt: SentPrompt,
    ) {
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(prompt);
    }

    /// Takes the prompts of the next report.
    pub fn take_report(&mut self) -> Vec<SentPrompt> {
        let mut report = Vec::new();
        let mut parts = 0;
        while let Some(prompt) = self.queue.front() {
            parts += prompt.segments.len();
            let is_full = report.len() >= MAX_REPORTED_PROMPTS || parts > MAX_REPORTED_PARTS;
            if is_full && !report.is_empty() {
                break;
            }
            report.extend(self.queue.pop_front());
        }
        report
    }

    /// Returns true if no prompt is to be reported.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

//! Holders' answers about the prompt tokens that engines keep.

use {crate::clock::Instant, std::time::Duration};

/// How long an answer is used. It bridges the time from the answer to the send, which may wait for a permit; the
/// contents of a busy engine's cache change within seconds.
const ANSWER_TTL: Duration = Duration::from_millis(400);

/// Maximum answers kept for one engine.
const MAX_ANSWERS: usize = 32;

/// What the engine keeps of one prompt.
#[derive(Debug, Clone, Copy)]
struct CachedPrompt {
    /// Hash of the prompt's whole chain.
    chain: u64,
    tokens: u32,
    answered_at: Instant,
}

/// Tokens of prompts that one engine need not read, by the chain of the prompt.
///
/// The chain names model, adapter and all parts, so that an answer to one request applies to all requests with the same
/// prompt, and answers to concurrent requests are kept apart.
#[derive(Debug, Default)]
pub struct CachedPrompts {
    /// Oldest first.
    answers: Vec<CachedPrompt>,
}

impl CachedPrompts {
    /// Records a holder's answer.
    pub fn record(
        &mut self,
        chain: u64,
        tokens: u32,
        now: Instant,
    ) {
        self.answers
            .retain(|answer| answer.chain != chain && is_fresh(answer, now));
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push(CachedPrompt {
            chain,
            tokens,
            answered_at: now,
        });
    }

    /// Returns the tokens of a prompt that the engine need not read; 0 if that is not known.
    pub fn tokens(
        &self,
        chain: u64,
        now: Instant,
    ) -> u32 {
        let answer = self.answers.iter().find(|answer| answer.chain == chain);
        answer
            .filter(|answer| is_fresh(answer, now))
            .map_or(0, |answer| answer.tokens)
    }
}

fn is_fresh(
    answer: &CachedPrompt,
    now: Instant,
) -> bool {
    now.saturating_duration_since(answer.answered_at) < ANSWER_TTL
}

//! Estimate of the prompt parts that an engine keeps.
//!
//! Load addressed: prompts with shared parts. A request is sent to an engine that has read these parts. Engines do not
//! report what they keep, so the holder derives it from the prompts that hosts report as sent. An estimate that is
//! wrong, lost or outdated costs time, never correctness.

use {
    crate::connection::datagram::{PromptSegment, SentPrompt},
    std::collections::{BTreeMap, HashMap},
};

/// Maximum number of parts that are remembered for one engine: 2,048 parts of 100 tokens fill the memory of most
/// engines, and take less than 300 kB of a host's memory.
const MAX_PARTS: usize = 2_048;

/// A part that the engine keeps.
#[derive(Debug, Clone, Copy)]
struct KeptPart {
    /// Start of its chain: the model and adapter that it was read for.
    root: u64,
    tokens: u32,
    /// Number of its last use; key in `by_use`.
    used: u64,
}

/// Least recently used parts of prompts, by tokens.
///
/// Of the parts of one prompt, later ones are evicted first, as no part is of use without those before it. A part is
/// thus never kept longer than one that precedes it.
#[derive(Debug, Clone, Default)]
pub struct PromptCache {
    parts: HashMap<u64, KeptPart>,
    /// Chains of the parts by their last use, oldest first.
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    /// Number of uses so far.
    uses: u64,
}

impl PromptCache {
    /// Records a prompt that was sent to the engine: all its parts are kept and most recently used.
    pub fn record(
        &mut self,
        prompt: &SentPrompt,
    ) {
        for segment in prompt.segments.iter().rev() {
            self.touch(prompt.root, segment);
        }
        while self.parts.len() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    /// Evicts the least recently used parts until the others fit in this many tokens.
    pub fn shrink_to(
        &mut self,
        capacity: u64,
    ) {
        while self.tokens > capacity {
            self.evict_oldest();
        }
    }

    /// Returns the tokens of the leading parts that are kept. A part counts only if all before it are kept.
    pub fn cached_tokens(
        &self,
        segments: &[PromptSegment],
    ) -> u32 {
        let kept = segments
            .iter()
            .take_while(|segment| self.parts.contains_key(&segment.chain));
        kept.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Drops the parts of all models and adapters for whose chain start `stays` returns false.
    pub fn retain_roots(
        &mut self,
        stays: impl Fn(u64) -> bool,
    ) {
        let (by_use, tokens) = (&mut self.by_use, &mut self.tokens);
        self.parts.retain(|_, part| {
            let stays = stays(part.root);
            if !stays {
                by_use.remove(&part.used);
                *tokens -= u64::from(part.tokens);
            }
            stays
        });
    }

    /// Returns the tokens of all parts that are kept.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the number of parts that are kept.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns true if no part is kept.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn touch(
        &mut self,
        root: u64,
        segment: &PromptSegment,
    ) {
        self.uses += 1;
        let part = KeptPart {
            root,
            tokens: segment.tokens,
            used: self.uses,
        };
        if let Some(previous) = self.parts.insert(segment.chain, part) {
            self.by_use.remove(&previous.used);
            self.tokens -= u64::from(previous.tokens);
        }
        self.by_use.insert(self.uses, segment.chain);
        self.tokens += u64::from(segment.tokens);
    }

    fn evict_oldest(&mut self) {
        let Some((_, chain)) = self.by_use.pop_first() else {
            return;
        };
        if let Some(part) = self.parts.remove(&chain) {
            self.tokens -= u64::from(part.tokens);
        }
    }
}

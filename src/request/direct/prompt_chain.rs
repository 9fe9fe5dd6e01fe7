//! The prompt of a request as a chain of its parts.
//!
//! Addresses prompts with shared parts that are prefilled at many engines: an engine that keeps a part, and all parts
//! before it, for the same model and adapter need not read that part again. All hosts name the same parts alike.

use {
    super::Generation,
    crate::connection::datagram::{PromptSegment, SentPrompt},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Maximum number of parts of a prompt that count; a caller may list any number, but messages must stay small.
const MAX_SEGMENTS: usize = 16;

/// Parts of a prompt, each named by a hash of the model, the adapter and all parts up to it.
///
/// All listed parts are reported to holders, the last one too: it costs 15 bytes, it uses memory of the engine that
/// other parts lose, and the next request of the same session begins with it. Prompt tokens beyond the listed parts
/// belong to the request alone.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptChain {
    root: u64,
    segments: Vec<PromptSegment>,
}

impl PromptChain {
    /// Returns the chain of a request's prompt, or `None` if it lists no parts.
    pub fn of(generation: &Generation) -> Option<Self> {
        if generation.parts.is_empty() {
            return None;
        }
        let root = Self::root_of(&generation.model);
        let mut chain = root;
        let segments = generation.parts.iter().take(MAX_SEGMENTS).map(|part| {
            chain = xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
            PromptSegment {
                chain,
                tokens: part.tokens,
            }
        });
        Some(Self {
            root,
            segments: segments.collect(),
        })
    }

    /// Returns the start of all chains of `MODEL` or `MODEL/ADAPTER`.
    pub fn root_of(model: &str) -> u64 {
        xxh3_64(model.as_bytes())
    }

    /// Returns the parts in the order of the prompt.
    pub fn segments(&self) -> &[PromptSegment] {
        &self.segments
    }

    /// Returns the hash of the whole chain.
    pub fn id(&self) -> u64 {
        self.segments.last().map_or(self.root, |last| last.chain)
    }

    /// Returns the parts that other requests probably share: all but the last one, which belongs to the request or its
    /// session, or the only one.
    pub fn leading(&self) -> &[PromptSegment] {
        let count = self.segments.len().saturating_sub(1).max(1);
        &self.segments[..count]
    }

    /// Returns the hash of the leading parts.
    pub fn leading_id(&self) -> u64 {
        self.leading().last().map_or(self.root, |last| last.chain)
    }

    /// Returns the tokens of the leading parts.
    pub fn leading_tokens(&self) -> u64 {
        let tokens = self.leading().iter();
        tokens.map(|segment| u64::from(segment.tokens)).sum()
    }

    /// Returns the prompt as it is reported to the holder of the engine that it was sent to.
    pub fn sent(&self) -> SentPrompt {
        SentPrompt {
            segments: self.segments.clone(),
            root: self.root,
        }
    }
}

/// A part of a prompt that several requests share, such as a system prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// Parameters of a request to a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub model: String,
    /// Prompt tokens.
    pub tokens_in: u32,
    /// Maximum answer tokens.
    pub tokens_out: u32,
    /// Answer tokens that the caller expects.
    pub length_hint: Option<u32>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Returns the base model without the adapter.
    pub fn base_model(&self) -> &str {
        self.model
            .split_once('/')
            .map_or(&self.model, |(base, _)| base)
    }

    /// Returns `MODEL/ADAPTER`, or `None` if the request names no adapter.
    pub fn adapter(&self) -> Option<&str> {
        self.model.contains('/').then_some(self.model.as_str())
    }

    /// Sets the token counts from `IN,OUT`.
    pub fn set_token_counts(
        &mut self,
        text: &str,
    ) {
        let (tokens_in, tokens_out) = token_counts(text);
        self.tokens_in = tokens_in;
        self.tokens_out = tokens_out;
    }

    /// Sets the prompt parts from `ID:TOKENS,…` with ids in hex; malformed parts are skipped.
    pub fn set_parts(
        &mut self,
        text: &str,
    ) {
        let part = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PromptPart {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: tokens.parse().ok()?,
            })
        };
        self.parts = text.split(',').filter_map(part).collect();
    }
}

/// Parses `IN,OUT`, the prompt tokens and maximum answer tokens; malformed counts are read as 0.
pub fn token_counts(text: &str) -> (u32, u32) {
    let mut counts = text.split(',').map(|count| count.trim().parse().ok());
    let mut next = || counts.next().flatten().unwrap_or_default();
    (next(), next())
}

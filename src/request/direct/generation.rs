/// A part of a prompt that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What a request to a model engine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// Base model, and after a slash its adapter.
    pub model: String,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens of the answer.
    pub tokens_out: u32,
    /// The caller's guess of the tokens of the answer.
    pub hint: Option<u32>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Base model without the adapter.
    pub fn base_model(&self) -> &str {
        self.model
            .split_once('/')
            .map_or(&self.model, |(base, _)| base)
    }

    /// `MODEL/ADAPTER`, if the request names an adapter.
    pub fn adapter(&self) -> Option<&str> {
        self.model.contains('/').then_some(self.model.as_str())
    }

    /// Understands `IN,OUT`.
    pub fn set_token_counts(
        &mut self,
        text: &str,
    ) {
        let (tokens_in, tokens_out) = token_counts(text);
        self.tokens_in = tokens_in;
        self.tokens_out = tokens_out;
    }

    /// Understands `ID:TOKENS,…` with ids in hex; parts that make no sense are left out.
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

/// Understands `IN,OUT`: tokens of a prompt and most tokens of its answer; what makes no sense counts as none.
pub fn token_counts(text: &str) -> (u32, u32) {
    let mut counts = text.split(',').map(|count| count.trim().parse().ok());
    let mut next = || counts.next().flatten().unwrap_or_default();
    (next(), next())
}

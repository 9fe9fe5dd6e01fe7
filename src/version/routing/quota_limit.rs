/// Unit of a customer's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt plus the maximum of its answer; one that declares no token
    /// counts as `default_tokens` tokens.
    Tokens { default_tokens: f64 },
}

/// Rate limit of a customer, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    pub unit: QuotaUnit,
}

impl QuotaLimit {
    /// Returns the units that a request costs; `tokens` is its declared count.
    pub fn cost(
        &self,
        tokens: Option<u64>,
    ) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { default_tokens } => {
                tokens.map_or(default_tokens, |tokens| tokens as f64)
            }
        }
    }
}

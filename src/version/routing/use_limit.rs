/// What a customer's use is counted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UseUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and the most of its answer; one that does not tell them as
    /// so many.
    Tokens { untold: f64 },
}

/// How much a customer may use, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UseLimit {
    /// Units a second.
    pub rate: f64,
    /// Units besides, at once.
    pub burst: f64,
    pub unit: UseUnit,
}

impl UseLimit {
    /// What a request uses that tells these tokens.
    pub fn cost(
        &self,
        tokens: Option<u64>,
    ) -> f64 {
        match self.unit {
            UseUnit::Requests => 1.0,
            UseUnit::Tokens { untold } => tokens.map_or(untold, |tokens| tokens as f64),
        }
    }
}

use serde::{Deserialize, Serialize};

/// A customer on whose behalf requests run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutfitterSpec {
    /// Weight of one answered request; 1.0 is ordinary.
    pub worth: f64,
}

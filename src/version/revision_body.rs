use {
    super::{Change, SiteConfig},
    serde::{Deserialize, Serialize},
};

/// What a revision's object holds: the whole configuration now and then, else changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevisionContent {
    Whole(SiteConfig),
    Changes(Vec<Change>),
}

/// One revision as kept in the object store; bodies form a chain to the last whole one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionBody {
    pub revision: u64,
    /// Object name of the revision before; none for the first.
    pub previous: Option<String>,
    /// Names the operation, so that a lost reply can be settled.
    pub operation: String,
    pub operator: String,
    /// Wall clock at the committing host, in milliseconds since 1970.
    pub committed_ms: u64,
    pub content: RevisionContent,
}

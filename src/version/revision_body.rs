use {
    super::{Change, SiteConfig},
    serde::{Deserialize, Serialize},
};

/// Content of a revision: the changes, or at intervals the complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevisionContent {
    Whole(SiteConfig),
    Changes(Vec<Change>),
}

/// One revision in the object store; bodies are linked back to the last complete one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionBody {
    pub revision: u64,
    /// Object name of the previous revision; `None` for the first.
    pub previous: Option<String>,
    /// Operation id, by which a commit whose reply was lost is recognized.
    pub operation: String,
    pub operator: String,
    /// Wall-clock time of the committing host, as a Unix time in milliseconds.
    pub committed_ms: u64,
    pub content: RevisionContent,
}

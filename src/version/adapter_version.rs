use {
    crate::errors::RequestError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Separates adapter and version in the `model` field of a request.
const SEPARATOR: char = '@';

/// One version of one adapter, written `adapter@version`; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AdapterVersion {
    full: Arc<str>,
    split: usize,
}

impl AdapterVersion {
    /// Joins an adapter's name and a version; both must be non-empty and free of `@`.
    pub fn new(
        adapter: &str,
        version: &str,
    ) -> Result<Self, RequestError> {
        format!("{adapter}{SEPARATOR}{version}").parse()
    }

    /// The adapter's name.
    pub fn adapter(&self) -> &str {
        &self.full[..self.split]
    }

    /// The version's name.
    pub fn version(&self) -> &str {
        &self.full[self.split + 1..]
    }

    /// The `adapter@version` form.
    pub fn as_str(&self) -> &str {
        &self.full
    }
}

impl FromStr for AdapterVersion {
    type Err = RequestError;

    fn from_str(text: &str) -> Result<Self, RequestError> {
        let bad = || RequestError::BadModel(text.to_string());
        let split = text.find(SEPARATOR).ok_or_else(bad)?;
        let version = &text[split + 1..];
        if split == 0 || version.is_empty() || version.contains(SEPARATOR) {
            return Err(bad());
        }
        Ok(Self {
            full: text.into(),
            split,
        })
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str(&self.full)
    }
}

impl From<AdapterVersion> for String {
    fn from(value: AdapterVersion) -> Self {
        value.full.to_string()
    }
}

impl TryFrom<String> for AdapterVersion {
    type Error = RequestError;

    fn try_from(text: String) -> Result<Self, RequestError> {
        text.parse()
    }
}

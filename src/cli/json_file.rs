use {crate::errors::RunError, serde::de::DeserializeOwned, std::path::Path};

/// Reads a JSON file.
pub fn read_json<T: DeserializeOwned>(file: &Path) -> Result<T, RunError> {
    let text = std::fs::read_to_string(file).map_err(|source| RunError::File {
        file: file.to_path_buf(),
        source,
    })?;
    let wrong = |e: serde_json::Error| RunError::Usage(format!("{}: {e}", file.display()));
    serde_json::from_str(&text).map_err(wrong)
}

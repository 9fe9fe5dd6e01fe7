use crate::errors::PlatformError;

/// The platform's object store; objects are written once and not changed.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; none when there is no such object.
    fn get(
        &self,
        name: &str,
    ) -> Result<Option<String>, PlatformError>;

    /// Writes an object; writing the same name again replaces it.
    fn put(
        &self,
        name: &str,
        content: &str,
    ) -> Result<(), PlatformError>;
}

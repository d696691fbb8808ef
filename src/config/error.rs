//! Errors of the configuration.

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read or parsed.
    #[error("{file}: {why}")]
    File {
        /// Path of the file.
        file: String,
        /// The cause.
        why: String,
    },
    /// A key is missing or invalid.
    #[error("{key}: {why}")]
    Key {
        /// Path of the key.
        key: String,
        /// The cause.
        why: String,
    },
}

/// An error at a key.
pub(super) fn bad(key: &str, why: impl Into<String>) -> ConfigError {
    ConfigError::Key { key: key.into(), why: why.into() }
}

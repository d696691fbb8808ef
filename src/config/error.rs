//! Errors of the configuration.

use std::time::Duration;

use crate::retry::RetryableError;

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
    /// A file that the configuration names, or its own, cannot be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// Path of the file, after the key that names it, if one does.
        file: String,
        /// The cause.
        error: std::io::Error,
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

impl RetryableError for ConfigError {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self {
            ConfigError::Unreadable { error, .. } => error.is_retryable(elapsed),
            ConfigError::File { .. } | ConfigError::Key { .. } => false,
        }
    }
}

/// An error at a key.
pub(super) fn bad(key: &str, why: impl Into<String>) -> ConfigError {
    ConfigError::Key { key: key.into(), why: why.into() }
}

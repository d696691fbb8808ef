//! Errors of the store, and whether a retry may help.

use transient::{Persistence, persistence};

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("store: {0}")]
    Io(#[from] std::io::Error),
    /// A record is corrupted, and not by an interrupted write.
    #[error("store: {file} is damaged at byte {at}; move it away to start without what it holds")]
    Damaged {
        /// The file.
        file: String,
        /// The offset in the file.
        at: u64,
    },
    /// A write would exceed the disk limit.
    #[error("store: the limit of {limit} bytes leaves no room for {need} more")]
    Full {
        /// The limit, in bytes.
        limit: u64,
        /// The size of the write, in bytes.
        need: u64,
    },
    /// Another process has created the next segment.
    #[error("store: {file} belongs to another process, which owns this state folder now")]
    Superseded {
        /// The other process's segment.
        file: String,
    },
}

impl StoreError {
    /// Whether a retry may help.
    pub fn persistence(&self) -> Persistence {
        match self {
            StoreError::Io(error) => persistence(error),
            StoreError::Full { .. } => Persistence::Transient,
            StoreError::Damaged { .. } | StoreError::Superseded { .. } => Persistence::Permanent,
        }
    }
}

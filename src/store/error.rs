//! What a store cannot do, and whether trying again may help.

use transient::{Persistence, persistence};

/// What a store cannot do.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("store: {0}")]
    Io(#[from] std::io::Error),
    /// A record is damaged where no interrupted write explains it.
    #[error("store: {file} is damaged at byte {at}; move it away to start without what it holds")]
    Damaged {
        /// The file.
        file: String,
        /// Where.
        at: u64,
    },
    /// A write would go over the limit on the disk.
    #[error("store: the limit of {limit} bytes leaves no room for {need} more")]
    Full {
        /// The limit.
        limit: u64,
        /// What was to be written.
        need: u64,
    },
    /// Another process has begun the next segment.
    #[error("store: {file} belongs to another process, which owns this state folder now")]
    Superseded {
        /// The other process's segment.
        file: String,
    },
}

impl StoreError {
    /// Whether trying again may help.
    pub fn persistence(&self) -> Persistence {
        match self {
            StoreError::Io(error) => persistence(error),
            StoreError::Full { .. } => Persistence::Transient,
            StoreError::Damaged { .. } | StoreError::Superseded { .. } => Persistence::Permanent,
        }
    }
}

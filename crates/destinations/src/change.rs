//! Numbered changes of a set, and their bytes.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{DestinationId, Digest, Endpoint, Version};

/// The most operations in one change.
pub const MAX_OPERATIONS: usize = 64;

/// The most bytes of one encoded change, without its signature.
pub const MAX_CHANGE_BYTES: usize = 4096;

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Adds the endpoint, or replaces the one of this id. Adds the destination if it is not there.
    PutEndpoint {
        /// Whose endpoint it is.
        destination: DestinationId,
        /// The endpoint as it shall be.
        endpoint: Endpoint,
    },
    /// Removes an endpoint, and with its last one the destination.
    RemoveEndpoint {
        /// Whose endpoint it is.
        destination: DestinationId,
        /// The id of the endpoint.
        endpoint_id: String,
    },
    /// Removes a destination with all its endpoints.
    RemoveDestination {
        /// The destination.
        destination: DestinationId,
    },
}

/// A step from one version of the set to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version the set has after this change.
    pub version: Version,
    /// The digest of the set before.
    pub previous_digest: Digest,
    /// The digest of the set after.
    pub digest: Digest,
    /// The steps, in order; may be empty, as in the first change of an epoch.
    pub operations: Vec<Operation>,
}

impl Change {
    /// Encodes the change with postcard.
    ///
    /// # Errors
    /// The change exceeds [`MAX_OPERATIONS`] or [`MAX_CHANGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, DecodeError> {
        check_operations(self.operations.len())?;
        let bytes = postcard::to_allocvec(self).map_err(|_| DecodeError::Malformed)?;
        check_bytes(bytes.len())?;
        Ok(bytes)
    }

    /// Decodes what [`Change::encode`] gave; the bounds are checked before anything is allocated.
    ///
    /// # Errors
    /// The bytes exceed a bound, are cut, are followed by others, or are no change.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        check_bytes(bytes.len())?;
        let (change, rest) = postcard::take_from_bytes::<Self>(bytes).map_err(|_| DecodeError::Malformed)?;
        if !rest.is_empty() {
            return Err(DecodeError::Trailing(rest.len()));
        }
        check_operations(change.operations.len())?;
        Ok(change)
    }
}

fn check_operations(count: usize) -> Result<(), DecodeError> {
    if count > MAX_OPERATIONS { Err(DecodeError::TooManyOperations(count)) } else { Ok(()) }
}

fn check_bytes(count: usize) -> Result<(), DecodeError> {
    if count > MAX_CHANGE_BYTES { Err(DecodeError::TooManyBytes(count)) } else { Ok(()) }
}

/// Why bytes are no change, or why a change has no bytes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// More than [`MAX_OPERATIONS`].
    #[error("{0} operations exceed {MAX_OPERATIONS}")]
    TooManyOperations(usize),
    /// More than [`MAX_CHANGE_BYTES`].
    #[error("{0} bytes exceed {MAX_CHANGE_BYTES}")]
    TooManyBytes(usize),
    /// Bytes follow the change.
    #[error("{0} bytes follow the change")]
    Trailing(usize),
    /// The bytes are cut or are no change.
    #[error("the bytes are no change")]
    Malformed,
}

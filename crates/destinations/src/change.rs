//! Numbered changes of a set, and their encoding.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{DestinationId, Digest, Endpoint, Version};

/// Maximum number of operations in one change.
pub const MAX_OPERATIONS: usize = 64;

/// Maximum length of an encoded change in bytes, without its signature.
pub const MAX_CHANGE_BYTES: usize = 4096;

/// One operation of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Adds the endpoint, or replaces the one of this id. Adds the destination if it does not exist.
    PutEndpoint {
        /// The destination of the endpoint.
        destination: DestinationId,
        /// The new endpoint.
        endpoint: Endpoint,
    },
    /// Removes an endpoint; removing the last one also removes the destination.
    RemoveEndpoint {
        /// The destination of the endpoint.
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

/// A change from one version of the set to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version the set has after this change.
    pub version: Version,
    /// The digest of the set before.
    pub previous_digest: Digest,
    /// The digest of the set after.
    pub digest: Digest,
    /// The operations, in order; may be empty, as in the first change of an epoch.
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

    /// Decodes the output of [`Change::encode`]. The bounds are checked before anything is allocated.
    ///
    /// # Errors
    /// The bytes exceed a bound, are truncated, have trailing bytes, or are no change.
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

/// Why a change cannot be decoded or encoded.
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
    /// The bytes are truncated or are no change.
    #[error("the bytes are not a valid change")]
    Malformed,
}

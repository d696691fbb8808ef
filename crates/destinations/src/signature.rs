//! Changes signed by the control cluster.

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::{Change, DecodeError, MAX_CHANGE_BYTES};

/// Length of an Ed25519 signature, in bytes.
pub const SIGNATURE_BYTES: usize = 64;

/// Maximum number of control keys, which limits the cost of verifying a forged change.
pub const MAX_CONTROL_KEYS: usize = 16;

/// Prefix of the signed bytes, so that a signature made for another purpose is not valid for a change.
const SIGNING_DOMAIN: &[u8] = b"tulipfall destinations change 1\0";

/// The public keys of the control machines.
#[derive(Debug, Clone)]
pub struct ControlKeys(Vec<VerifyingKey>);

impl ControlKeys {
    /// Creates the keys from their 32-byte form (RFC 8032).
    ///
    /// # Errors
    /// There are none or more than [`MAX_CONTROL_KEYS`], or one is not a usable point.
    pub fn new(keys: &[[u8; 32]]) -> Result<Self, KeyError> {
        if keys.is_empty() || keys.len() > MAX_CONTROL_KEYS {
            return Err(KeyError::Count(keys.len()));
        }
        let decode = |(position, key)| match VerifyingKey::from_bytes(key) {
            Ok(key) if !key.is_weak() => Ok(key),
            _ => Err(KeyError::Invalid { position }),
        };
        keys.iter().enumerate().map(decode).collect::<Result<_, _>>().map(Self)
    }
}

/// An encoded change and the signature of a control machine over it, not yet verified.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<u8>", try_from = "Vec<u8>")]
pub struct SignedChange {
    bytes: Vec<u8>,
    signature: [u8; SIGNATURE_BYTES],
}

impl SignedChange {
    /// Encodes and signs a change.
    ///
    /// # Errors
    /// The change exceeds a bound of [`Change::encode`].
    pub fn sign(change: &Change, key: &SigningKey) -> Result<Self, DecodeError> {
        let bytes = change.encode()?;
        let signature = key.sign(&signed_message(&bytes)).to_bytes();
        Ok(Self { bytes, signature })
    }

    /// Verifies the signature against each control key in turn, and only then decodes the change.
    ///
    /// # Errors
    /// The signature is not valid for any control key, or the signed bytes are no change.
    pub fn verify(&self, keys: &ControlKeys) -> Result<Change, VerifyError> {
        let message = signed_message(&self.bytes);
        let signature = Signature::from_bytes(&self.signature);
        if !keys.0.iter().any(|key| key.verify_strict(&message, &signature).is_ok()) {
            return Err(VerifyError::Signature);
        }
        Ok(Change::decode(&self.bytes)?)
    }

    /// The signature, followed by the change in postcard.
    pub fn encode(&self) -> Vec<u8> {
        [&self.signature[..], &self.bytes].concat()
    }

    /// Splits the output of [`SignedChange::encode`]. The content is checked by [`SignedChange::verify`].
    ///
    /// # Errors
    /// The bytes are too short for a signature, or too long for a change.
    pub fn decode(encoded: &[u8]) -> Result<Self, DecodeError> {
        let (signature, bytes) = encoded.split_first_chunk().ok_or(DecodeError::Malformed)?;
        if bytes.len() > MAX_CHANGE_BYTES {
            return Err(DecodeError::TooManyBytes(bytes.len()));
        }
        Ok(Self { bytes: bytes.to_vec(), signature: *signature })
    }

    /// The length of the encoded form, in bytes.
    pub fn encoded_len(&self) -> usize {
        SIGNATURE_BYTES + self.bytes.len()
    }
}

impl From<SignedChange> for Vec<u8> {
    fn from(change: SignedChange) -> Self {
        change.encode()
    }
}

impl TryFrom<Vec<u8>> for SignedChange {
    type Error = DecodeError;

    fn try_from(encoded: Vec<u8>) -> Result<Self, DecodeError> {
        Self::decode(&encoded)
    }
}

fn signed_message(bytes: &[u8]) -> Vec<u8> {
    [SIGNING_DOMAIN, bytes].concat()
}

/// Why control keys cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// None, or more than [`MAX_CONTROL_KEYS`].
    #[error("{0} control keys; there must be 1 to {MAX_CONTROL_KEYS}")]
    Count(usize),
    /// The key at this position is not a usable Ed25519 key.
    #[error("control key {position} is not a usable Ed25519 key")]
    Invalid {
        /// The position, from 0.
        position: usize,
    },
}

/// Why a signed change is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// The signature is not valid for any control key.
    #[error("the signature is not that of a control key")]
    Signature,
    /// The signed bytes are not a valid change.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

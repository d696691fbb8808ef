//! The keys that authenticate datagrams, and their MAC.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::datagram::DatagramError;

/// Length of a MAC, in bytes.
pub const MAC_BYTES: usize = 12;

/// A key that authenticates datagrams.
#[derive(Clone)]
pub struct Key {
    /// Its id, not 0.
    pub id: u8,
    /// The secret.
    pub bytes: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// The keys: the first signs, and each is accepted. Without any, datagrams are not authenticated.
#[derive(Clone, Debug, Default)]
pub struct Keys(pub Vec<Key>);

fn mac(key: &Key, bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.bytes).ok()?;
    mac.update(bytes);
    Some(mac)
}

impl Keys {
    /// Length of the MAC in bytes, 0 without a key.
    pub fn mac_len(&self) -> usize {
        if self.0.is_empty() { 0 } else { MAC_BYTES }
    }

    /// The id of the key that signs, 0 without a key.
    pub fn first_id(&self) -> u8 {
        self.0.first().map_or(0, |key| key.id)
    }

    /// Appends the MAC, if there is a key.
    pub fn sign(&self, out: &mut Vec<u8>) {
        if let Some(mac) = self.0.first().and_then(|key| mac(key, out)) {
            out.extend(mac.finalize().into_bytes().iter().take(MAC_BYTES));
        }
    }

    /// Verifies the MAC by the key of this id. Returns the bytes without it.
    ///
    /// # Errors
    /// If the key is unknown, the MAC is wrong or the datagram is too short for one.
    pub fn verify<'a>(&self, id: u8, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        if self.0.is_empty() {
            return if id == 0 { Ok(bytes) } else { Err(DatagramError::UnknownKey(id)) };
        }
        let key = self.0.iter().find(|key| key.id == id).ok_or(DatagramError::UnknownKey(id))?;
        let signed = bytes.len().checked_sub(MAC_BYTES).and_then(|at| bytes.split_at_checked(at));
        let (signed, code) = signed.ok_or(DatagramError::Malformed)?;
        let right = mac(key, signed).is_some_and(|mac| mac.verify_truncated_left(code).is_ok());
        if right { Ok(signed) } else { Err(DatagramError::Forged) }
    }
}

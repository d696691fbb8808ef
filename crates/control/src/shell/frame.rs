//! Messages between control machines on a TCP connection, each with a MAC, so that nobody without the key of the cluster
//! takes part in the consensus. Copies and late ones do no harm: Raft bears them.
//!
//! ```text
//!     length of the rest (u32), HMAC-SHA256 of what follows (32 bytes), sender (u64), receiver (u64), message
//! ```
//!
//! Numbers are little-endian.

use consensus::{MAX_MESSAGE_BYTES, NodeId};
use destinations::SigningKey;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Separates the key of the link from the one that signs changes.
const KEY_DOMAIN: &[u8] = b"tulipfall control consensus link 1\0";
const MAC_BYTES: usize = 32;
const ADDRESS_BYTES: usize = 16;

/// The key by which frames are signed.
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

/// Why a frame has no effect; the connection is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Its length cannot be.
    #[error("a frame of {0} bytes cannot be")]
    Length(usize),
    /// It was not signed by the key of the cluster.
    #[error("the frame was not signed by the key of the cluster")]
    Forged,
    /// It is meant for another machine.
    #[error("the frame is meant for control machine {}", .0.0)]
    WrongReceiver(NodeId),
    /// The connection ended.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl FrameKey {
    /// The key that follows from the one of the cluster.
    pub fn new(cluster: &SigningKey) -> Self {
        FrameKey(Sha256::new().chain_update(KEY_DOMAIN).chain_update(cluster.to_bytes()).finalize().into())
    }

    /// The frame of a message.
    pub fn seal(&self, from: NodeId, to: NodeId, message: &[u8]) -> Vec<u8> {
        let signed = [&from.0.to_le_bytes()[..], &to.0.to_le_bytes(), message].concat();
        let length = u32::try_from(MAC_BYTES + signed.len()).unwrap_or(u32::MAX);
        let mac = self.mac(&signed).finalize().into_bytes();
        [&length.to_le_bytes()[..], &mac, &signed].concat()
    }

    /// Reads the next frame; its sender and the message.
    ///
    /// # Errors
    /// The frame is not sound, or the connection ended.
    pub async fn read(
        &self, me: NodeId, connection: &mut (impl AsyncRead + Unpin),
    ) -> Result<(NodeId, Vec<u8>), FrameError> {
        let length = connection.read_u32_le().await? as usize;
        if !(MAC_BYTES + ADDRESS_BYTES..=MAC_BYTES + ADDRESS_BYTES + MAX_MESSAGE_BYTES).contains(&length) {
            return Err(FrameError::Length(length));
        }
        // Grows as bytes come, so that a length alone costs no memory.
        let mut rest = Vec::new();
        connection.take(length as u64).read_to_end(&mut rest).await?;
        if rest.len() < length {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        self.open(me, &rest)
    }

    fn open(&self, me: NodeId, rest: &[u8]) -> Result<(NodeId, Vec<u8>), FrameError> {
        let (mac, signed) = rest.split_first_chunk::<MAC_BYTES>().ok_or(FrameError::Length(rest.len()))?;
        self.mac(signed).verify_slice(mac).map_err(|_| FrameError::Forged)?;
        let (from, signed) = signed.split_first_chunk().ok_or(FrameError::Length(rest.len()))?;
        let (to, message) = signed.split_first_chunk().ok_or(FrameError::Length(rest.len()))?;
        let to = NodeId(u64::from_le_bytes(*to));
        if to != me {
            return Err(FrameError::WrongReceiver(to));
        }
        Ok((NodeId(u64::from_le_bytes(*from)), message.to_vec()))
    }

    fn mac(&self, signed: &[u8]) -> Hmac<Sha256> {
        // The key is one block long, as `new_from_slice` allows for every length.
        let mut mac = <Hmac<Sha256> as Mac>::new(&hmac_key(&self.0));
        mac.update(signed);
        mac
    }
}

/// A key of 32 bytes as HMAC pads it to the block of SHA-256 (RFC 2104).
fn hmac_key(key: &[u8; 32]) -> hmac::digest::Key<Hmac<Sha256>> {
    let mut padded = hmac::digest::Key::<Hmac<Sha256>>::default();
    padded[..key.len()].copy_from_slice(key);
    padded
}

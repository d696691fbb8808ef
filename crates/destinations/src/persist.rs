//! The file format of a whole set, written and read piece by piece.
//!
//! | part | bytes |
//! | --- | --- |
//! | header | `"tfdests1"`, epoch `u32`, number `u64`, digest |
//! | each bucket, in order | length `u32`, canonical bytes |
//! | checksum | SHA-256 of all before |
//!
//! Numbers are little-endian. The checksum detects corruption, not forgery: an attacker who can write the file can
//! write a matching checksum. Where that matters, store the signed change of the version with the file.

use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::bucket::{BUCKETS, Bucket, MAX_BUCKET_BYTES};
use crate::digest::{DigestTree, bucket_digest};
use crate::{BucketError, DestinationSet, Digest, Version};

const MAGIC: &[u8; 8] = b"tfdests1";
const DIGEST_BYTES: usize = 32;
const HEADER_BYTES: usize = MAGIC.len() + 4 + 8 + DIGEST_BYTES;
const LENGTH_BYTES: usize = 4;

/// The pieces of the file, in order. Each is encoded on demand and is at most a bucket long.
pub fn encode(set: &DestinationSet) -> impl Iterator<Item = Vec<u8>> {
    let mut encoder = Encoder::new(set);
    // The iterator borrows the set, so the set cannot change meanwhile.
    std::iter::from_fn(move || encoder.next_piece(set).ok().flatten())
}

/// Encodes the file one piece at a time, so that the set can be used in between.
#[derive(Debug)]
pub struct Encoder {
    version: Version,
    digest: Digest,
    stage: Stage,
    checksum: Sha256,
}

/// The piece that comes next.
#[derive(Debug, Clone, Copy)]
enum Stage {
    Header,
    Bucket(u16),
    Checksum,
    End,
}

impl Encoder {
    /// Creates an encoder of the set's present version.
    pub fn new(set: &DestinationSet) -> Self {
        let (version, digest) = (set.version(), set.digest());
        Self { version, digest, stage: Stage::Header, checksum: Sha256::new() }
    }

    /// The next piece, at most a bucket long. `None` after the last one.
    ///
    /// # Errors
    /// The set has changed since [`Encoder::new`], so the file has to be started again.
    pub fn next_piece(&mut self, set: &DestinationSet) -> Result<Option<Vec<u8>>, SetChanged> {
        if (set.version(), set.digest()) != (self.version, self.digest) {
            return Err(SetChanged);
        }
        let (piece, next) = match self.stage {
            Stage::Header => (header(set), Stage::Bucket(0)),
            Stage::Bucket(index) if usize::from(index) + 1 < BUCKETS => {
                (bucket_record(set, index), Stage::Bucket(index + 1))
            }
            Stage::Bucket(index) => (bucket_record(set, index), Stage::Checksum),
            Stage::Checksum => (self.checksum.finalize_reset().to_vec(), Stage::End),
            Stage::End => return Ok(None),
        };
        self.checksum.update(&piece);
        self.stage = next;
        Ok(Some(piece))
    }
}

/// The set has changed while it was being encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the set has changed while it was being encoded")]
pub struct SetChanged;

fn header(set: &DestinationSet) -> Vec<u8> {
    let Version { epoch, number } = set.version();
    [&MAGIC[..], &epoch.to_le_bytes(), &number.to_le_bytes(), &set.digest().0].concat()
}

fn bucket_record(set: &DestinationSet, index: u16) -> Vec<u8> {
    let bytes = set.bucket_ref(index).encode();
    [&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat()
}

/// Reads the file in pieces of any length.
#[derive(Debug)]
pub struct Decoder {
    /// Bytes that do not yet make up the next part.
    pending: Vec<u8>,
    checksum: Sha256,
    header: Option<(Version, Digest)>,
    buckets: Vec<Bucket>,
    bucket_digests: Vec<Digest>,
}

impl Default for Decoder {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder {
    /// Creates a decoder for a new file.
    pub fn new() -> Self {
        Self {
            pending: Vec::new(),
            checksum: Sha256::new(),
            header: None,
            buckets: Vec::new(),
            bucket_digests: Vec::new(),
        }
    }

    /// Adds the next bytes of the file.
    ///
    /// # Errors
    /// A part that is now complete is invalid. The decoder cannot be used any more.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), FileError> {
        let mut pending = std::mem::take(&mut self.pending);
        pending.extend_from_slice(bytes);
        let mut consumed = 0;
        while let Some(length) = self.next_part(&pending[consumed..])? {
            let Some(part) = pending[consumed..].get(..length) else { break };
            self.decode_part(part)?;
            consumed += length;
        }
        pending.drain(..consumed);
        self.pending = pending;
        Ok(())
    }

    /// Returns the set, after the whole file was pushed.
    ///
    /// # Errors
    /// The file is truncated or has trailing bytes, or the checksum or the digest is wrong.
    pub fn finish(self) -> Result<DestinationSet, FileError> {
        let (version, digest) = self.header.ok_or(FileError::Truncated)?;
        if self.buckets.len() < BUCKETS || self.pending.len() < DIGEST_BYTES {
            return Err(FileError::Truncated);
        }
        if self.pending != self.checksum.finalize().as_slice() {
            return Err(FileError::Checksum);
        }
        let digests = DigestTree::new(self.bucket_digests);
        if digests.root() != digest {
            return Err(FileError::Digest);
        }
        Ok(DestinationSet::assemble(version, self.buckets, digests))
    }

    /// The length of the next part. `None` if it is not known yet or only the checksum is left.
    fn next_part(&self, rest: &[u8]) -> Result<Option<usize>, FileError> {
        if self.header.is_none() {
            return Ok(Some(HEADER_BYTES));
        }
        if self.buckets.len() == BUCKETS {
            return if rest.len() > DIGEST_BYTES { Err(FileError::Trailing) } else { Ok(None) };
        }
        let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_BUCKET_BYTES {
            return Err(BucketError::TooLarge(length).into());
        }
        Ok(Some(LENGTH_BYTES + length))
    }

    fn decode_part(&mut self, part: &[u8]) -> Result<(), FileError> {
        self.checksum.update(part);
        if self.header.is_none() {
            self.header = Some(read_header(part).ok_or(FileError::Magic)?);
            return Ok(());
        }
        let index = self.buckets.len() as u16;
        let bytes = part.get(LENGTH_BYTES..).ok_or(FileError::Truncated)?;
        self.buckets.push(Bucket::decode(index, bytes)?);
        self.bucket_digests.push(bucket_digest(index, bytes));
        Ok(())
    }
}

fn read_header(header: &[u8]) -> Option<(Version, Digest)> {
    let rest = header.strip_prefix(MAGIC)?;
    let (epoch, rest) = rest.split_first_chunk()?;
    let (number, rest) = rest.split_first_chunk()?;
    let version = Version { epoch: u32::from_le_bytes(*epoch), number: u64::from_le_bytes(*number) };
    Some((version, Digest(rest.try_into().ok()?)))
}

/// Why a file of a set is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FileError {
    /// The file does not begin with the magic bytes.
    #[error("not a file of a destination set")]
    Magic,
    /// The file is truncated.
    #[error("the file ends early")]
    Truncated,
    /// Bytes follow the checksum.
    #[error("bytes follow the checksum")]
    Trailing,
    /// The checksum does not match.
    #[error("the checksum is wrong")]
    Checksum,
    /// The digest in the header does not match the buckets.
    #[error("the digest does not match the buckets")]
    Digest,
    /// A bucket is invalid.
    #[error(transparent)]
    Bucket(#[from] BucketError),
}

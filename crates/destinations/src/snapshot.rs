//! Updating a set to another version by the buckets in which it differs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bucket::{BUCKETS, Bucket, MAX_BUCKET_BYTES};
use crate::digest::{DigestTree, bucket_digest};
use crate::set::DestinationChange;
use crate::{Applied, BucketError, Change, DestinationSet, Digest, Version};

/// The digests of a whole set. The signed change of its version authenticates it, so a manifest from any machine may be
/// used together with that change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version of the set.
    pub version: Version,
    /// The digest of the set.
    pub digest: Digest,
    /// The digests of its buckets, in order.
    pub bucket_digests: Vec<Digest>,
}

impl Manifest {
    /// Maximum length of an encoded manifest in bytes: the version as two varints, the digest, the count and the digests.
    pub const MAX_BYTES: usize = 5 + 10 + 32 + 2 + BUCKETS * 32;

    /// Encodes with postcard, in about 33 kB.
    ///
    /// # Errors
    /// The manifest does not have [`BUCKETS`] digests.
    pub fn encode(&self) -> Result<Vec<u8>, ManifestError> {
        check_count(self.bucket_digests.len())?;
        postcard::to_allocvec(self).map_err(|_| ManifestError::Malformed)
    }

    /// Decodes the output of [`Manifest::encode`].
    ///
    /// # Errors
    /// The bytes are truncated, have trailing bytes, are too long, or are no manifest.
    pub fn decode(bytes: &[u8]) -> Result<Self, ManifestError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(ManifestError::TooManyBytes(bytes.len()));
        }
        let (manifest, rest) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| ManifestError::Malformed)?;
        if !rest.is_empty() {
            return Err(ManifestError::Malformed);
        }
        check_count(manifest.bucket_digests.len())?;
        Ok(manifest)
    }

    /// Verifies that the digest matches the bucket digests and the change of this version.
    fn check(&self, change: &Change) -> Result<DigestTree, ManifestError> {
        check_count(self.bucket_digests.len())?;
        if (change.version, change.digest) != (self.version, self.digest) {
            return Err(ManifestError::NotVouched);
        }
        let digests = DigestTree::new(self.bucket_digests.clone());
        if digests.root() != self.digest {
            return Err(ManifestError::Digest);
        }
        Ok(digests)
    }
}

fn check_count(count: usize) -> Result<(), ManifestError> {
    if count == BUCKETS { Ok(()) } else { Err(ManifestError::BucketCount(count)) }
}

impl DestinationSet {
    /// The digests of the set.
    pub fn manifest(&self) -> Manifest {
        Manifest {
            version: self.version(),
            digest: self.digest(),
            bucket_digests: self.digests().leaves().to_vec(),
        }
    }

    /// The canonical bytes of one bucket. `None` for an index of [`BUCKETS`] or more.
    pub fn bucket(&self, index: u16) -> Option<Vec<u8>> {
        (usize::from(index) < BUCKETS).then(|| self.bucket_ref(index).encode())
    }

    /// The indexes of the buckets in which the set differs from the manifest, ascending.
    pub fn differing(&self, manifest: &Manifest) -> Vec<u16> {
        let pairs = self.digests().leaves().iter().zip(&manifest.bucket_digests);
        (0..).zip(pairs).filter(|(_, (held, wanted))| held != wanted).map(|(index, _)| index).collect()
    }
}

/// Collects the buckets in which a set differs from a manifest, and installs them atomically.
///
/// Only those buckets are held in memory besides the set, which stays in use meanwhile.
#[derive(Debug)]
pub struct SnapshotInstall {
    manifest: Manifest,
    digests: DigestTree,
    /// `None` until the bucket is received.
    buckets: BTreeMap<u16, Option<Bucket>>,
}

impl SnapshotInstall {
    /// Starts an update of the set to the manifest. The change is the one that led to the manifest's version, and must be
    /// the output of [`SignedChange::verify`](crate::SignedChange::verify).
    ///
    /// # Errors
    /// The manifest is not newer than the set, or does not match the change.
    pub fn begin(set: &DestinationSet, manifest: Manifest, change: &Change) -> Result<Self, InstallError> {
        check_newer(set.version(), manifest.version)?;
        let digests = manifest.check(change)?;
        let buckets = set.differing(&manifest).into_iter().map(|index| (index, None)).collect();
        Ok(Self { manifest, digests, buckets })
    }

    /// The version of the set after the installation.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// The indexes of the missing buckets, ascending.
    pub fn missing(&self) -> impl Iterator<Item = u16> {
        self.buckets.iter().filter(|(_, bucket)| bucket.is_none()).map(|(index, _)| *index)
    }

    /// Adds the canonical bytes of one bucket.
    ///
    /// # Errors
    /// The bucket is not needed, was received before, or does not match the manifest. It is then ignored, and may be
    /// received again.
    pub fn take(&mut self, index: u16, bytes: &[u8]) -> Result<(), InstallError> {
        let place = self.buckets.get_mut(&index).ok_or(InstallError::NotNeeded(index))?;
        if place.is_some() {
            return Err(InstallError::AlreadyReceived(index));
        }
        if bytes.len() > MAX_BUCKET_BYTES {
            return Err(BucketError::TooLarge(bytes.len()).into());
        }
        if self.manifest.bucket_digests.get(usize::from(index)) != Some(&bucket_digest(index, bytes)) {
            return Err(InstallError::BucketDigest(index));
        }
        *place = Some(Bucket::decode(index, bytes)?);
        Ok(())
    }

    /// Installs all buckets atomically. Changes may have been applied to the set since [`SnapshotInstall::begin`].
    ///
    /// # Errors
    /// A bucket is missing, or the set has changed so that the manifest is no longer newer or other buckets differ. The
    /// set is unchanged; after [`InstallError::SetChanged`] the installation has to be started again.
    pub fn finish(&mut self, set: &mut DestinationSet) -> Result<Applied, InstallError> {
        check_newer(set.version(), self.manifest.version)?;
        if let Some(index) = self.missing().next() {
            return Err(InstallError::Missing(index));
        }
        if set.differing(&self.manifest).iter().any(|index| !self.buckets.contains_key(index)) {
            return Err(InstallError::SetChanged);
        }
        let changes = self.changes(set);
        let buckets = std::mem::take(&mut self.buckets);
        let buckets = buckets.into_iter().filter_map(|(index, bucket)| Some((index, bucket?)));
        set.replace_buckets(self.manifest.version, buckets, self.digests.clone());
        Ok(Applied { version: self.manifest.version, changes })
    }

    /// The effect of the installation on the destinations of the differing buckets.
    fn changes(&self, set: &DestinationSet) -> Vec<DestinationChange> {
        let buckets = self.buckets.iter().filter_map(|(index, bucket)| Some((*index, bucket.as_ref()?)));
        buckets.flat_map(|(index, bucket)| bucket.changes_from(set.bucket_ref(index))).collect()
    }
}

fn check_newer(have: Version, got: Version) -> Result<(), InstallError> {
    if got > have { Ok(()) } else { Err(InstallError::Older { have, got }) }
}

/// Why a manifest is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// There are not [`BUCKETS`] digests.
    #[error("{0} bucket digests; there must be {BUCKETS}")]
    BucketCount(usize),
    /// More than [`Manifest::MAX_BYTES`].
    #[error("{0} bytes exceed those of a manifest")]
    TooManyBytes(usize),
    /// The bytes are truncated or are no manifest.
    #[error("the bytes are not a valid manifest")]
    Malformed,
    /// The change has another version or another digest.
    #[error("the change does not match the manifest")]
    NotVouched,
    /// The digest does not match the bucket digests.
    #[error("the digest does not match the bucket digests")]
    Digest,
}

/// Why a step of an installation failed. The set is unchanged.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum InstallError {
    /// The manifest is not newer than the set.
    #[error("snapshot {got} is not newer than {have}")]
    Older {
        /// The version of the set.
        have: Version,
        /// The version of the manifest.
        got: Version,
    },
    /// The manifest is invalid.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The bucket does not differ, or there is none of this index.
    #[error("bucket {0} is not needed")]
    NotNeeded(u16),
    /// The bucket was received before.
    #[error("bucket {0} was received before")]
    AlreadyReceived(u16),
    /// The bytes do not match the manifest: they are truncated, altered, or of another version.
    #[error("bucket {0} does not match the manifest")]
    BucketDigest(u16),
    /// The bytes match the manifest, but are not a valid bucket.
    #[error(transparent)]
    Bucket(#[from] BucketError),
    /// This bucket, and perhaps others, is missing.
    #[error("bucket {0} is missing")]
    Missing(u16),
    /// The set has changed in a bucket that was not received.
    #[error("the set has changed in a bucket that was not received")]
    SetChanged,
}

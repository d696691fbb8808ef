//! The buckets into which a set is split: the unit of digests and of snapshots.

use std::collections::BTreeMap;

use thiserror::Error;

pub use crate::codec::CodecError;
use crate::codec::{Reader, put_destination, put_id};
use crate::stored::StoredDestination;
use crate::{DestinationChange, DestinationId, Endpoint};

/// The number of buckets of a set.
pub const BUCKETS: usize = 1024;

/// Maximum number of canonical bytes of one bucket, which limits a set to 64 MiB of canonical bytes.
pub const MAX_BUCKET_BYTES: usize = 64 * 1024;

/// The bucket of a destination: the top bits of its id after the finalizer of SplitMix64 (Steele, Lea and Flood 2014), so
/// that consecutive ids are spread over all buckets.
pub fn bucket_of(id: DestinationId) -> u16 {
    let mut hash = id.0 as u64;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    (hash >> (u64::BITS - BUCKETS.ilog2())) as u16
}

/// The new endpoints of some destinations, by ascending id. A destination without any is removed.
pub(crate) type Replacements = BTreeMap<DestinationId, Vec<Endpoint>>;

/// The destinations of one bucket, by ascending id.
#[derive(Debug, Default)]
pub(crate) struct Bucket(Vec<StoredDestination>);

impl Bucket {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, StoredDestination> {
        self.0.iter()
    }

    pub(crate) fn get(&self, id: DestinationId) -> Option<&StoredDestination> {
        self.position(id).ok().and_then(|position| self.0.get(position))
    }

    fn position(&self, id: DestinationId) -> Result<usize, usize> {
        self.0.binary_search_by_key(&id, |destination| destination.id)
    }

    /// The canonical bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        self.encode_with(&Replacements::new())
    }

    /// The canonical bytes the bucket would have after these replacements.
    pub(crate) fn encode_with(&self, replacements: &Replacements) -> Vec<u8> {
        let mut out = Vec::new();
        let mut replacements = replacements.iter().peekable();
        for held in &self.0 {
            while let Some((id, endpoints)) = replacements.next_if(|(id, _)| **id < held.id) {
                put_destination(&mut out, *id, endpoints);
            }
            if let Some((id, endpoints)) = replacements.next_if(|(id, _)| **id == held.id) {
                put_destination(&mut out, *id, endpoints);
            } else {
                put_id(&mut out, held.id);
                out.extend_from_slice(held.body());
            }
        }
        replacements.for_each(|(id, endpoints)| put_destination(&mut out, *id, endpoints));
        out
    }

    /// The effect on the destinations if this bucket replaces `before`.
    pub(crate) fn changes_from(&self, before: &Self) -> Vec<DestinationChange> {
        let kept_or_added = self.iter().filter_map(|after| match before.get(after.id) {
            Some(held) if held.body() == after.body() => None,
            held => DestinationChange::between(after.id, held.is_some(), true),
        });
        let gone = before.iter().filter(|held| self.get(held.id).is_none());
        kept_or_added.chain(gone.map(|held| DestinationChange::Removed(held.id))).collect()
    }

    /// Decodes the canonical bytes of the bucket `index`.
    pub(crate) fn decode(index: u16, bytes: &[u8]) -> Result<Self, BucketError> {
        let mut destinations: Vec<StoredDestination> = Vec::new();
        let mut reader = Reader::new(bytes);
        while let Some((id, body)) = reader.destination()? {
            if bucket_of(id) != index {
                return Err(BucketError::Misplaced(id));
            }
            if destinations.last().is_some_and(|last| last.id >= id) {
                return Err(CodecError::Order.into());
            }
            destinations.push(StoredDestination::from_body(id, body));
        }
        destinations.shrink_to_fit();
        Ok(Self(destinations))
    }

    /// Replaces the endpoints of one destination, or removes it if there are none.
    pub(crate) fn replace(&mut self, id: DestinationId, endpoints: &[Endpoint]) {
        let position = self.position(id);
        if endpoints.is_empty() {
            if let Ok(position) = position {
                self.0.remove(position);
            }
            return;
        }
        let destination = StoredDestination::new(id, endpoints);
        match position {
            Ok(position) => self.0[position] = destination,
            Err(position) => {
                // Buckets are many and small: the spare capacity of a vector grown by doubling would add a fifth to the
                // memory of the set.
                self.0.reserve_exact(1);
                self.0.insert(position, destination);
            }
        }
    }
}

/// Why bytes are not a valid bucket.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum BucketError {
    /// More than [`MAX_BUCKET_BYTES`].
    #[error("{0} bytes exceed {MAX_BUCKET_BYTES}")]
    TooLarge(usize),
    /// The destination belongs to another bucket.
    #[error("destination {0} belongs to another bucket")]
    Misplaced(DestinationId),
    /// The bytes are not canonical.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

//! The destination set.

use thiserror::Error;

use crate::bucket::{BUCKETS, Bucket, bucket_of};
use crate::digest::DigestTree;
use crate::staging::{Staged, owned_endpoints};
use crate::stored::StoredDestination;
use crate::{
    Change, DecodeError, DestinationId, Digest, Endpoint, EndpointError, EndpointRef, Operation, Version,
};

/// All destinations at one version. Changes are applied atomically.
#[derive(Debug)]
pub struct DestinationSet {
    version: Version,
    length: usize,
    buckets: Vec<Bucket>,
    digests: DigestTree,
}

impl Default for DestinationSet {
    fn default() -> Self {
        Self::new()
    }
}

impl DestinationSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            version: Version::default(),
            length: 0,
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
            digests: DigestTree::empty(),
        }
    }

    /// The version of the last applied change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of all destinations; it does not cover the version.
    pub fn digest(&self) -> Digest {
        self.digests.root()
    }

    /// The number of destinations.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no destination.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// One destination.
    pub fn get(&self, id: DestinationId) -> Option<Destination<'_>> {
        self.bucket_ref(bucket_of(id)).get(id).map(Destination)
    }

    /// All destinations, in an order that is the same for the same content.
    pub fn iter(&self) -> impl Iterator<Item = Destination<'_>> {
        self.buckets.iter().flat_map(Bucket::iter).map(Destination)
    }

    /// Applies a change, which must be the output of [`SignedChange::verify`](crate::SignedChange::verify).
    ///
    /// The change must have the next number of the current epoch. The first change of a newer epoch, whatever its
    /// number, is applied if its previous digest is that of this set; otherwise a snapshot is needed.
    ///
    /// # Errors
    /// The change is not the next one, cannot be applied to this set, or does not lead to its digest. The set is
    /// unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<Applied, ApplyError> {
        self.check_version(change.version)?;
        if change.previous_digest != self.digest() {
            return Err(self.refuse_previous(change.version));
        }
        let staged = Staged::run(self, &change.operations)?;
        let digests = self.digests_after(&staged)?;
        if digests.root() != change.digest {
            return Err(ApplyError::Digest);
        }
        Ok(self.commit(change.version, &staged, digests))
    }

    /// Creates the change with these operations and the next number of the epoch.
    ///
    /// # Errors
    /// The operations cannot be applied to the set, exceed a bound, or the numbers of the epoch are used up.
    pub fn prepare(&self, operations: Vec<Operation>) -> Result<Change, ApplyError> {
        self.prepare_in_epoch(self.version.epoch, operations)
    }

    /// As [`DestinationSet::prepare`], in the current or a newer epoch.
    ///
    /// # Errors
    /// As for [`DestinationSet::prepare`]; also if the epoch is older.
    pub fn prepare_in_epoch(&self, epoch: u32, operations: Vec<Operation>) -> Result<Change, ApplyError> {
        let next = self.version.next().ok_or(ApplyError::NumbersUsedUp)?;
        let version = Version { epoch, ..next };
        self.check_version(version)?;
        let digest = self.digests_after(&Staged::run(self, &operations)?)?.root();
        let change = Change { version, previous_digest: self.digest(), digest, operations };
        change.encode()?;
        Ok(change)
    }

    /// The operations that revert these, which have not yet been applied to the set. A rollback is published as a change
    /// of its own; reverting a large removal may take more than one change.
    ///
    /// # Errors
    /// The operations cannot be applied to the set.
    pub fn inverse(&self, operations: &[Operation]) -> Result<Vec<Operation>, ApplyError> {
        let staged = Staged::run(self, operations)?;
        let undo = |(id, after): (DestinationId, &Vec<Endpoint>)| {
            operations_between(id, after, owned_endpoints(self.get(id)))
        };
        Ok(staged.destinations().flat_map(undo).collect())
    }

    pub(crate) fn bucket_ref(&self, index: u16) -> &Bucket {
        &self.buckets[usize::from(index)]
    }

    pub(crate) fn digests(&self) -> &DigestTree {
        &self.digests
    }

    /// Creates a set of buckets that were verified against the digests.
    pub(crate) fn assemble(version: Version, buckets: Vec<Bucket>, digests: DigestTree) -> Self {
        let length = buckets.iter().map(Bucket::len).sum();
        Self { version, length, buckets, digests }
    }

    /// Replaces whole buckets with their digests, and sets the version.
    pub(crate) fn replace_buckets(
        &mut self, version: Version, buckets: impl IntoIterator<Item = (u16, Bucket)>, digests: DigestTree,
    ) {
        for (index, bucket) in buckets {
            self.length = self.length + bucket.len() - self.bucket_ref(index).len();
            self.buckets[usize::from(index)] = bucket;
        }
        self.version = version;
        self.digests = digests;
    }

    fn check_version(&self, got: Version) -> Result<(), ApplyError> {
        let have = self.version;
        if got.epoch < have.epoch {
            return Err(ApplyError::OlderEpoch { have, got });
        }
        if got.epoch > have.epoch {
            return Ok(());
        }
        if got.number <= have.number {
            return Err(ApplyError::Older { have, got });
        }
        if have.next() != Some(got) {
            return Err(ApplyError::Gap { have, got });
        }
        Ok(())
    }

    fn refuse_previous(&self, got: Version) -> ApplyError {
        let have = self.version;
        if got.epoch == have.epoch {
            ApplyError::PreviousDigest
        } else {
            ApplyError::OtherEpoch { have, got }
        }
    }

    fn digests_after(&self, staged: &Staged) -> Result<DigestTree, ApplyError> {
        let mut digests = self.digests.clone();
        digests.update(staged.bucket_digests(self)?);
        Ok(digests)
    }

    fn commit(&mut self, version: Version, staged: &Staged, digests: DigestTree) -> Applied {
        let mut changes = Vec::new();
        for (id, endpoints) in staged.destinations() {
            changes.extend(DestinationChange::between(id, self.get(id).is_some(), !endpoints.is_empty()));
            let bucket = &mut self.buckets[usize::from(bucket_of(id))];
            self.length -= bucket.len();
            bucket.replace(id, endpoints);
            self.length += bucket.len();
        }
        self.version = version;
        self.digests = digests;
        Applied { version, changes }
    }
}

/// The operations that lead from some endpoints of a destination to others.
fn operations_between(id: DestinationId, from: &[Endpoint], to: Vec<Endpoint>) -> Vec<Operation> {
    if to.is_empty() {
        let removal = Operation::RemoveDestination { destination: id };
        return if from.is_empty() { Vec::new() } else { vec![removal] };
    }
    let gone = from.iter().filter(|endpoint| to.iter().all(|other| other.id != endpoint.id));
    let removals = gone
        .map(|endpoint| Operation::RemoveEndpoint { destination: id, endpoint_id: endpoint.id.clone() })
        .collect::<Vec<_>>();
    let puts = to
        .into_iter()
        .filter(|endpoint| !from.contains(endpoint))
        .map(|endpoint| Operation::PutEndpoint { destination: id, endpoint });
    removals.into_iter().chain(puts).collect()
}

/// A destination, borrowed from the set.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a>(&'a StoredDestination);

impl<'a> Destination<'a> {
    /// The destination's id.
    pub fn id(&self) -> DestinationId {
        self.0.id
    }

    /// Its endpoints, one or more, by ascending id.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = EndpointRef<'a>> + use<'a> {
        self.0.endpoints()
    }
}

/// The effect of a change or an installed snapshot. The endpoints themselves are in the set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The new version of the set.
    pub version: Version,
    /// The changed destinations, each once.
    pub changes: Vec<DestinationChange>,
}

/// The effect on one destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DestinationChange {
    /// It did not exist before.
    Added(DestinationId),
    /// It existed before, perhaps with other endpoints.
    Updated(DestinationId),
    /// It was removed.
    Removed(DestinationId),
}

impl DestinationChange {
    /// `None` for a destination that exists neither before nor after.
    pub(crate) fn between(id: DestinationId, before: bool, after: bool) -> Option<Self> {
        match (before, after) {
            (false, false) => None,
            (false, true) => Some(Self::Added(id)),
            (true, true) => Some(Self::Updated(id)),
            (true, false) => Some(Self::Removed(id)),
        }
    }
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ApplyError {
    /// This number of the epoch has been applied already.
    #[error("change {got} is not after {have}")]
    Older {
        /// The version of the set.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// Changes in between are missing and have to be requested.
    #[error("changes are missing between {have} and {got}")]
    Gap {
        /// The version of the set.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change is of an epoch that has ended.
    #[error("change {got} is of an older epoch than {have}")]
    OlderEpoch {
        /// The version of the set.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change is of a newer epoch and does not follow this set: a snapshot is needed.
    #[error("change {got} is of a newer epoch and does not follow the set at {have}")]
    OtherEpoch {
        /// The version of the set.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change's previous digest is not that of this set.
    #[error("the change's previous digest does not match the set")]
    PreviousDigest,
    /// The operations do not lead to the change's digest.
    #[error("the operations do not lead to the digest of the change")]
    Digest,
    /// A destination to remove, or to remove an endpoint from, does not exist.
    #[error("destination {0} is not in the set")]
    UnknownDestination(DestinationId),
    /// An endpoint to remove does not exist.
    #[error("destination {0} has no endpoint {1:?}")]
    UnknownEndpoint(DestinationId, String),
    /// A count exceeds its bound: what is counted, the count, and the bound.
    #[error("{1} {0} exceed {2}")]
    TooLarge(&'static str, usize, usize),
    /// An endpoint exceeds a bound.
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
    /// The change exceeds a bound of its encoding.
    #[error(transparent)]
    Encoding(#[from] DecodeError),
    /// The epoch has no further numbers.
    #[error("the numbers of the epoch are used up")]
    NumbersUsedUp,
}

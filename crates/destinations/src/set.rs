//! The set that every relay holds.

use thiserror::Error;

use crate::bucket::{BUCKETS, Bucket, bucket_of};
use crate::digest::DigestTree;
use crate::staging::{Staged, owned_endpoints};
use crate::stored::StoredDestination;
use crate::{
    Change, DecodeError, DestinationId, Digest, Endpoint, EndpointError, EndpointRef, Operation, Version,
};

/// All destinations at one version. Every change of it is taken on whole or not at all.
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
    /// A set that holds nothing yet.
    pub fn new() -> Self {
        Self {
            version: Version::default(),
            length: 0,
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
            digests: DigestTree::empty(),
        }
    }

    /// The version of the last change taken on.
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
        self.held_bucket(bucket_of(id)).get(id).map(Destination)
    }

    /// All destinations, in an order that is the same for the same content.
    pub fn iter(&self) -> impl Iterator<Item = Destination<'_>> {
        self.buckets.iter().flat_map(Bucket::iter).map(Destination)
    }

    /// Takes on a change, which must have come out of [`SignedChange::verify`](crate::SignedChange::verify).
    ///
    /// The change must carry the next number of the epoch held. The first one of a newer epoch is taken on if the
    /// set it follows is the one held, whatever its number; otherwise a snapshot is needed.
    ///
    /// # Errors
    /// The change is not the next, does not fit what is held, or does not lead to the digest it names. The set
    /// and its digest are as they were.
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

    /// Works out the change that these operations make, numbered as the next of the epoch.
    ///
    /// # Errors
    /// The operations do not fit the set or a bound, or the numbers of the epoch are used up.
    pub fn prepare(&self, operations: Vec<Operation>) -> Result<Change, ApplyError> {
        self.prepare_in_epoch(self.version.epoch, operations)
    }

    /// As [`DestinationSet::prepare`], in an epoch that is the one held or a newer one.
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

    /// The operations that undo these, which have not yet been applied to the set; for a rollback that is
    /// published as a change of its own. Undoing a large removal may take more than one change.
    ///
    /// # Errors
    /// The operations do not fit the set.
    pub fn inverse(&self, operations: &[Operation]) -> Result<Vec<Operation>, ApplyError> {
        let staged = Staged::run(self, operations)?;
        let undo = |(id, after): (DestinationId, &Vec<Endpoint>)| {
            operations_between(id, after, owned_endpoints(self.get(id)))
        };
        Ok(staged.destinations().flat_map(undo).collect())
    }

    pub(crate) fn held_bucket(&self, index: u16) -> &Bucket {
        &self.buckets[usize::from(index)]
    }

    pub(crate) fn digests(&self) -> &DigestTree {
        &self.digests
    }

    /// A set of buckets that were checked against the digests.
    pub(crate) fn assemble(version: Version, buckets: Vec<Bucket>, digests: DigestTree) -> Self {
        let length = buckets.iter().map(Bucket::len).sum();
        Self { version, length, buckets, digests }
    }

    /// Takes on whole buckets with their digests and, with them, another version.
    pub(crate) fn replace_buckets(
        &mut self, version: Version, buckets: impl IntoIterator<Item = (u16, Bucket)>, digests: DigestTree,
    ) {
        for (index, bucket) in buckets {
            self.length = self.length + bucket.len() - self.held_bucket(index).len();
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

/// A destination that the set lends.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a>(&'a StoredDestination);

impl<'a> Destination<'a> {
    /// Which destination this is.
    pub fn id(&self) -> DestinationId {
        self.0.id
    }

    /// Its endpoints, one or more, by ascending id.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = EndpointRef<'a>> + use<'a> {
        self.0.endpoints()
    }
}

/// What a change or an installed snapshot made of the set. The endpoints themselves are in the set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The version the set now has.
    pub version: Version,
    /// The destinations touched, each once.
    pub changes: Vec<DestinationChange>,
}

/// What became of one destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DestinationChange {
    /// It was not there before.
    Added(DestinationId),
    /// It was there before, perhaps with other endpoints.
    Updated(DestinationId),
    /// It is no longer there.
    Removed(DestinationId),
}

impl DestinationChange {
    /// None for a destination that is neither there before nor after.
    pub(crate) fn between(id: DestinationId, before: bool, after: bool) -> Option<Self> {
        match (before, after) {
            (false, false) => None,
            (false, true) => Some(Self::Added(id)),
            (true, true) => Some(Self::Updated(id)),
            (true, false) => Some(Self::Removed(id)),
        }
    }
}

/// Why a change was refused whole.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ApplyError {
    /// This number of the epoch was already taken on.
    #[error("change {got} is not after {have}")]
    Older {
        /// The version held.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// Changes between are missing: ask for them.
    #[error("changes are missing between {have} and {got}")]
    Gap {
        /// The version held.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change is of a history that has ended.
    #[error("change {got} is of an older epoch than {have}")]
    OlderEpoch {
        /// The version held.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change is of a newer history and does not follow the set held: ask for a snapshot.
    #[error("change {got} is of a newer epoch and does not follow the set held at {have}")]
    OtherEpoch {
        /// The version held.
        have: Version,
        /// The version of the change.
        got: Version,
    },
    /// The change follows another set than the one held.
    #[error("the change follows another set than the one held")]
    PreviousDigest,
    /// The operations do not lead to the digest that the change names.
    #[error("the operations do not lead to the digest that the change names")]
    Digest,
    /// A removal names a destination that is not there.
    #[error("destination {0} is not in the set")]
    UnknownDestination(DestinationId),
    /// A removal names an endpoint that is not there.
    #[error("destination {0} has no endpoint {1:?}")]
    UnknownEndpoint(DestinationId, String),
    /// What is counted, how many there would be, and the most.
    #[error("{1} {0} exceed {2}")]
    TooLarge(&'static str, usize, usize),
    /// An endpoint breaks a bound.
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
    /// The change exceeds a bound of its encoding.
    #[error(transparent)]
    Encoding(#[from] DecodeError),
    /// The epoch has no further numbers.
    #[error("the numbers of the epoch are used up")]
    NumbersUsedUp,
}

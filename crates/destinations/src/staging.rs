//! What operations would make of a set, worked out beside it.

use std::collections::BTreeMap;

use crate::bucket::{MAX_BUCKET_BYTES, Replacements, bucket_of};
use crate::digest::bucket_digest;
use crate::set::{ApplyError, Destination, DestinationSet};
use crate::{DestinationId, Digest, Endpoint, MAX_ENDPOINTS, MAX_OPERATIONS, Operation};

/// The destinations that some operations touch, as they would be after them, by bucket.
#[derive(Debug, Default)]
pub(crate) struct Staged {
    pub(crate) buckets: BTreeMap<u16, Replacements>,
}

impl Staged {
    /// Runs the operations in order against the set, which stays as it is.
    pub(crate) fn run(set: &DestinationSet, operations: &[Operation]) -> Result<Self, ApplyError> {
        if operations.len() > MAX_OPERATIONS {
            return Err(ApplyError::TooLarge("operations", operations.len(), MAX_OPERATIONS));
        }
        let mut staged = Self::default();
        operations.iter().try_for_each(|operation| staged.run_one(set, operation))?;
        Ok(staged)
    }

    fn run_one(&mut self, set: &DestinationSet, operation: &Operation) -> Result<(), ApplyError> {
        match operation {
            Operation::PutEndpoint { destination, endpoint } => {
                endpoint.validate()?;
                put(self.endpoints(set, *destination), endpoint)
            }
            Operation::RemoveEndpoint { destination, endpoint_id } => {
                let endpoints = self.known(set, *destination)?;
                remove(endpoints, endpoint_id)
                    .ok_or_else(|| ApplyError::UnknownEndpoint(*destination, endpoint_id.clone()))
            }
            Operation::RemoveDestination { destination } => {
                self.known(set, *destination)?.clear();
                Ok(())
            }
        }
    }

    /// The endpoints of a destination that must be there.
    fn known(&mut self, set: &DestinationSet, id: DestinationId) -> Result<&mut Vec<Endpoint>, ApplyError> {
        let endpoints = self.endpoints(set, id);
        if endpoints.is_empty() { Err(ApplyError::UnknownDestination(id)) } else { Ok(endpoints) }
    }

    /// The endpoints of a destination so far; none if it is not there.
    fn endpoints(&mut self, set: &DestinationSet, id: DestinationId) -> &mut Vec<Endpoint> {
        let replacements = self.buckets.entry(bucket_of(id)).or_default();
        replacements.entry(id).or_insert_with(|| owned_endpoints(set.get(id)))
    }

    /// The digests of the touched buckets as they would be.
    pub(crate) fn bucket_digests(&self, set: &DestinationSet) -> Result<Vec<(u16, Digest)>, ApplyError> {
        let digest = |(index, replacements): (&u16, &Replacements)| {
            let bytes = set.held_bucket(*index).encode_with(replacements);
            if bytes.len() > MAX_BUCKET_BYTES {
                return Err(ApplyError::TooLarge("bytes of a bucket", bytes.len(), MAX_BUCKET_BYTES));
            }
            Ok((*index, bucket_digest(*index, &bytes)))
        };
        self.buckets.iter().map(digest).collect()
    }

    /// The touched destinations with their endpoints as they would be.
    pub(crate) fn destinations(&self) -> impl Iterator<Item = (DestinationId, &Vec<Endpoint>)> {
        self.buckets.values().flatten().map(|(id, endpoints)| (*id, endpoints))
    }
}

/// The endpoints of a destination, copied; none if it is not there.
pub(crate) fn owned_endpoints(destination: Option<Destination<'_>>) -> Vec<Endpoint> {
    let endpoints = destination.iter().flat_map(Destination::endpoints);
    endpoints.map(|endpoint| endpoint.to_endpoint()).collect()
}

/// Puts an endpoint at its place by id.
fn put(endpoints: &mut Vec<Endpoint>, endpoint: &Endpoint) -> Result<(), ApplyError> {
    match endpoints.binary_search_by(|held| held.id.cmp(&endpoint.id)) {
        Ok(position) => endpoints[position] = endpoint.clone(),
        Err(_) if endpoints.len() >= MAX_ENDPOINTS => {
            return Err(ApplyError::TooLarge("endpoints", endpoints.len() + 1, MAX_ENDPOINTS));
        }
        Err(position) => endpoints.insert(position, endpoint.clone()),
    }
    Ok(())
}

/// Removes the endpoint of this id; none if it is not there.
fn remove(endpoints: &mut Vec<Endpoint>, id: &str) -> Option<()> {
    let position = endpoints.binary_search_by(|held| held.id.as_str().cmp(id)).ok()?;
    endpoints.remove(position);
    Some(())
}

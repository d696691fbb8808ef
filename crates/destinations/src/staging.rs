//! The effect of operations on a set, computed without changing the set.

use std::collections::BTreeMap;

use crate::bucket::{MAX_BUCKET_BYTES, Replacements, bucket_of};
use crate::digest::bucket_digest;
use crate::set::{ApplyError, Destination, DestinationSet};
use crate::{DestinationId, Digest, Endpoint, MAX_ENDPOINTS, MAX_OPERATIONS, Operation};

/// The destinations that operations touch, as they would be afterwards, by bucket.
#[derive(Debug, Default)]
pub(crate) struct Staged {
    pub(crate) buckets: BTreeMap<u16, Replacements>,
}

impl Staged {
    /// Computes the effect of the operations, in order, without changing the set.
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

    /// The endpoints of a destination that must exist.
    fn known(&mut self, set: &DestinationSet, id: DestinationId) -> Result<&mut Vec<Endpoint>, ApplyError> {
        let endpoints = self.endpoints(set, id);
        if endpoints.is_empty() { Err(ApplyError::UnknownDestination(id)) } else { Ok(endpoints) }
    }

    /// The staged endpoints of a destination; empty if it does not exist.
    fn endpoints(&mut self, set: &DestinationSet, id: DestinationId) -> &mut Vec<Endpoint> {
        let replacements = self.buckets.entry(bucket_of(id)).or_default();
        replacements.entry(id).or_insert_with(|| owned_endpoints(set.get(id)))
    }

    /// The digests of the touched buckets after the operations.
    pub(crate) fn bucket_digests(&self, set: &DestinationSet) -> Result<Vec<(u16, Digest)>, ApplyError> {
        let digest = |(index, replacements): (&u16, &Replacements)| {
            let bytes = set.bucket_ref(*index).encode_with(replacements);
            if bytes.len() > MAX_BUCKET_BYTES {
                return Err(ApplyError::TooLarge("bytes of a bucket", bytes.len(), MAX_BUCKET_BYTES));
            }
            Ok((*index, bucket_digest(*index, &bytes)))
        };
        self.buckets.iter().map(digest).collect()
    }

    /// The touched destinations with their endpoints after the operations.
    pub(crate) fn destinations(&self) -> impl Iterator<Item = (DestinationId, &Vec<Endpoint>)> {
        self.buckets.values().flatten().map(|(id, endpoints)| (*id, endpoints))
    }
}

/// The endpoints of a destination, copied. Empty if it does not exist.
pub(crate) fn owned_endpoints(destination: Option<Destination<'_>>) -> Vec<Endpoint> {
    let endpoints = destination.iter().flat_map(Destination::endpoints);
    endpoints.map(|endpoint| endpoint.to_endpoint()).collect()
}

/// Inserts or replaces an endpoint, in the order of ids.
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

/// Removes the endpoint of this id. `None` if it does not exist.
fn remove(endpoints: &mut Vec<Endpoint>, id: &str) -> Option<()> {
    let position = endpoints.binary_search_by(|held| held.id.as_str().cmp(id)).ok()?;
    endpoints.remove(position);
    Some(())
}

//! The destination set as entries of the runtime's destination list.

use std::collections::{BTreeMap, BTreeSet};

use destinations::{DestinationId, DestinationSet, EndpointRef, Phase};

use crate::exchange::Member;
use crate::interface::ServiceState;
use crate::wire::RawEntry;

/// The kind of each endpoint of the set. It is the only kind in an operator's file; an endpoint of an unknown kind would be
/// left out.
const KIND: &str = "partner";
/// The zone of each endpoint of the set, which is the only zone in an operator's file.
const ZONE: &str = "here";

/// The ids of the endpoints that were sent to the runtime, by destination, so that removed ones can be reported to it.
pub(super) struct Listing(BTreeMap<i64, Vec<String>>);

impl Listing {
    /// The listing of these endpoints.
    pub(super) fn of(endpoints: impl IntoIterator<Item = (i64, String)>) -> Self {
        let mut listing: BTreeMap<i64, Vec<String>> = BTreeMap::new();
        endpoints.into_iter().for_each(|(destination, id)| listing.entry(destination).or_default().push(id));
        Listing(listing)
    }

    /// The listing of these members.
    pub(super) fn of_members(members: &[Member]) -> Self {
        Self::of(members.iter().map(|member| (member.entry.cell(), member.id.clone())))
    }

    /// The number of destinations.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Updates these destinations from the set. Returns their endpoints, and the removed ones.
    pub(super) fn update(
        &mut self, set: &DestinationSet, destinations: BTreeSet<DestinationId>,
    ) -> Vec<Member> {
        let mut members = Vec::new();
        for destination in destinations {
            let listed = members_of(set, destination);
            let ids: Vec<String> = listed.iter().map(|member| member.id.clone()).collect();
            let previous = self.0.remove(&destination.0).unwrap_or_default();
            let removed = previous.into_iter().filter(|id| !ids.contains(id));
            members.extend(removed.map(|id| removed_member(destination, id)));
            members.extend(listed);
            if !ids.is_empty() {
                self.0.insert(destination.0, ids);
            }
        }
        members
    }
}

/// The endpoints of all destinations.
pub(super) fn all(set: &DestinationSet) -> Vec<Member> {
    let destinations = set.iter();
    destinations
        .flat_map(|found| found.endpoints().map(move |endpoint| member(found.id(), endpoint)))
        .collect()
}

fn members_of(set: &DestinationSet, destination: DestinationId) -> Vec<Member> {
    let endpoints = set.get(destination).into_iter().flat_map(|found| found.endpoints());
    endpoints.map(|endpoint| member(destination, endpoint)).collect()
}

/// Converts an endpoint. An endpoint's id is unique only within its destination, so the destination precedes it. If the id is
/// the address, the result equals the id in an operator's file, so that both are the same endpoint to the runtime.
fn member(destination: DestinationId, endpoint: EndpointRef<'_>) -> Member {
    let listed = match endpoint.phase {
        Phase::Ready => ServiceState::InService,
        Phase::Draining => ServiceState::Draining,
    };
    let id = format!("{destination}@{}", endpoint.id);
    Member {
        entry: entry(destination, listed, endpoint.rate_per_s, &id),
        address: endpoint.address.to_string().into(),
        id,
    }
}

fn removed_member(destination: DestinationId, id: String) -> Member {
    Member { entry: entry(destination, ServiceState::Removed, 0.0, &id), address: "".into(), id }
}

fn entry(destination: DestinationId, listed: ServiceState, rate_per_s: f64, id: &str) -> RawEntry {
    RawEntry::new(KIND.into(), listed, destination.0, ZONE.into(), rate_per_s, id.into())
}

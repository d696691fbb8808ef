//! The destination set as entries of the runtime's destination list.

use std::collections::{BTreeMap, BTreeSet};

use destinations::{DestinationId, DestinationSet, EndpointRef, Phase};

use crate::exchange::Member;
use crate::interface::ServiceState;
use crate::wire::RawEntry;

/// The one kind and the one zone of endpoints in an operator's file, which every endpoint of the set counts as: an
/// unknown kind would leave the endpoint out.
const KIND: &str = "partner";
const ZONE: &str = "here";

/// The ids of the endpoints that the runtime was told of, by destination, so that it can be told which are gone.
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

    /// Takes over these destinations as they are in the set. Returns their endpoints, and those that are gone.
    pub(super) fn update(
        &mut self, set: &DestinationSet, destinations: BTreeSet<DestinationId>,
    ) -> Vec<Member> {
        let mut members = Vec::new();
        for destination in destinations {
            let listed = members_of(set, destination);
            let ids: Vec<String> = listed.iter().map(|member| member.id.clone()).collect();
            let before = self.0.remove(&destination.0).unwrap_or_default();
            let gone = before.into_iter().filter(|id| !ids.contains(id));
            members.extend(gone.map(|id| gone_member(destination, id)));
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

/// An endpoint's id is unique within its destination only. One whose id is its address has the id that the operator's file
/// gives it, so that it goes on as the same endpoint.
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

fn gone_member(destination: DestinationId, id: String) -> Member {
    Member { entry: entry(destination, ServiceState::Removed, 0.0, &id), address: "".into(), id }
}

fn entry(destination: DestinationId, listed: ServiceState, rate_per_s: f64, id: &str) -> RawEntry {
    RawEntry::new(KIND.into(), listed, destination.0, ZONE.into(), rate_per_s, id.into())
}

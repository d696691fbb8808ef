//! The compact form in which a set holds its destinations.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use crate::{DestinationId, EndpointRef, Phase};

/// What many endpoints have in common.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Placement {
    kind: Box<str>,
    zone: Box<str>,
}

/// The fewest placements at which those out of use are looked for.
const RELEASE_FLOOR: usize = 64;

/// Holds each [`Placement`] once.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    held: BTreeSet<Arc<Placement>>,
    in_use_last: usize,
}

impl Placements {
    fn intern(&mut self, kind: &str, zone: &str) -> Arc<Placement> {
        let wanted = Placement { kind: kind.into(), zone: zone.into() };
        if let Some(held) = self.held.get(&wanted) {
            return Arc::clone(held);
        }
        let placement = Arc::new(wanted);
        self.held.insert(Arc::clone(&placement));
        placement
    }

    /// Takes in the placements of a snapshot. One that was here already stays with the snapshot's endpoints.
    pub(crate) fn absorb(&mut self, other: Self) {
        self.held.extend(other.held);
    }

    /// Drops placements that no endpoint has any more, once there may be as many of them as there are in use.
    pub(crate) fn release_unused(&mut self) {
        if self.held.len() > RELEASE_FLOOR.max(2 * self.in_use_last) {
            self.held.retain(|placement| Arc::strong_count(placement) > 1);
            self.in_use_last = self.held.len();
        }
    }
}

/// An endpoint in about 56 bytes and its id.
#[derive(Debug)]
pub(crate) struct StoredEndpoint {
    id: Box<str>,
    placement: Arc<Placement>,
    rate_per_s: f64,
    ip: IpAddr,
    port: u16,
    phase: Phase,
}

impl StoredEndpoint {
    fn new(endpoint: &EndpointRef<'_>, placements: &mut Placements) -> Self {
        Self {
            id: endpoint.id.into(),
            placement: placements.intern(endpoint.kind, endpoint.zone),
            rate_per_s: endpoint.rate_per_s,
            ip: endpoint.address.ip(),
            port: endpoint.address.port(),
            phase: endpoint.phase,
        }
    }

    pub(crate) fn view(&self) -> EndpointRef<'_> {
        EndpointRef {
            id: &self.id,
            address: SocketAddr::new(self.ip, self.port),
            kind: &self.placement.kind,
            zone: &self.placement.zone,
            phase: self.phase,
            rate_per_s: self.rate_per_s,
        }
    }
}

/// A destination and its endpoints, by ascending id.
#[derive(Debug)]
pub(crate) struct StoredDestination {
    pub(crate) id: DestinationId,
    endpoints: Box<[StoredEndpoint]>,
}

impl StoredDestination {
    pub(crate) fn new<'a>(
        id: DestinationId, endpoints: impl IntoIterator<Item = EndpointRef<'a>>, placements: &mut Placements,
    ) -> Self {
        let endpoints = endpoints.into_iter().map(|endpoint| StoredEndpoint::new(&endpoint, placements));
        Self { id, endpoints: endpoints.collect() }
    }

    pub(crate) fn endpoints(&self) -> impl ExactSizeIterator<Item = EndpointRef<'_>> {
        self.endpoints.iter().map(StoredEndpoint::view)
    }
}

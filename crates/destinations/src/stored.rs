//! The compact form in which a set holds its destinations.

use crate::codec::{Endpoints, put_body};
use crate::{DestinationId, Endpoint};

/// A destination and the canonical bytes of its endpoints: 24 bytes and about 30 for each endpoint.
///
/// The bytes were made or checked by the codec, so reading them does not fail.
#[derive(Debug)]
pub(crate) struct StoredDestination {
    pub(crate) id: DestinationId,
    body: Box<[u8]>,
}

impl StoredDestination {
    /// Takes endpoints that are valid and ascend by id.
    pub(crate) fn new(id: DestinationId, endpoints: &[Endpoint]) -> Self {
        let mut body = Vec::new();
        put_body(&mut body, endpoints);
        Self { id, body: body.into() }
    }

    /// Takes a body as [`Reader::destination`](crate::codec::Reader::destination) gives it.
    pub(crate) fn from_body(id: DestinationId, body: &[u8]) -> Self {
        Self { id, body: body.into() }
    }

    /// The canonical bytes of the endpoints.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    pub(crate) fn endpoints(&self) -> Endpoints<'_> {
        Endpoints::new(&self.body)
    }
}

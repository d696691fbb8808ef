//! The compact form in which a set holds its destinations.

use crate::codec::{Endpoints, put_body};
use crate::{DestinationId, Endpoint};

/// A destination and the canonical bytes of its endpoints: 24 bytes and about 30 for each endpoint.
///
/// The bytes were encoded or validated by the codec, so reading them cannot fail.
#[derive(Debug)]
pub(crate) struct StoredDestination {
    pub(crate) id: DestinationId,
    body: Box<[u8]>,
}

impl StoredDestination {
    /// Creates a destination from valid endpoints in ascending order of ids.
    pub(crate) fn new(id: DestinationId, endpoints: &[Endpoint]) -> Self {
        let mut body = Vec::new();
        put_body(&mut body, endpoints);
        Self { id, body: body.into() }
    }

    /// Creates a destination from a body that [`Reader::destination`](crate::codec::Reader::destination) returned.
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

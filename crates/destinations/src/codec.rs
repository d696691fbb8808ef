//! The canonical bytes of destinations, over which digests are taken.
//!
//! | part | bytes |
//! | --- | --- |
//! | destination | id `i64`, body |
//! | body | count of endpoints `u8` of 1 or more, the endpoints by ascending id |
//! | endpoint | id, address, kind, zone, phase `u8` (0 ready, 1 draining), rate `f64` |
//! | id, kind, zone | length `u8`, UTF-8 |
//! | address | 4 or 6 `u8`, octets, port `u16` |
//!
//! Numbers are little-endian. Every set of destinations has one encoding, and only that one is decoded.

use std::net::{IpAddr, SocketAddr};

use thiserror::Error;

use crate::{DestinationId, Endpoint, EndpointError, EndpointRef, MAX_ENDPOINTS, Phase};

/// Appends a destination. One without endpoints is skipped, as it is not in the set.
pub(crate) fn put_destination(out: &mut Vec<u8>, id: DestinationId, endpoints: &[Endpoint]) {
    if !endpoints.is_empty() {
        put_id(out, id);
        put_body(out, endpoints);
    }
}

/// Appends the part of a destination before its body.
pub(crate) fn put_id(out: &mut Vec<u8>, id: DestinationId) {
    out.extend_from_slice(&id.0.to_le_bytes());
}

/// Appends the body of a destination: its endpoints, which must be valid, in ascending order of ids, and at most
/// [`MAX_ENDPOINTS`].
pub(crate) fn put_body(out: &mut Vec<u8>, endpoints: &[Endpoint]) {
    out.push(endpoints.len() as u8);
    endpoints.iter().for_each(|endpoint| put_endpoint(out, endpoint));
}

fn put_endpoint(out: &mut Vec<u8>, endpoint: &Endpoint) {
    put_name(out, &endpoint.id);
    put_address(out, endpoint.address);
    put_name(out, &endpoint.kind);
    put_name(out, &endpoint.zone);
    out.push(match endpoint.phase {
        Phase::Ready => 0,
        Phase::Draining => 1,
    });
    out.extend_from_slice(&endpoint.rate_per_s.to_le_bytes());
}

fn put_name(out: &mut Vec<u8>, name: &str) {
    out.push(name.len() as u8);
    out.extend_from_slice(name.as_bytes());
}

fn put_address(out: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend_from_slice(&ip.octets());
        }
    }
    out.extend_from_slice(&address.port().to_le_bytes());
}

/// Reads canonical bytes from front to back.
#[derive(Debug, Clone)]
pub(crate) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// The next destination and its validated body. `None` at the end.
    pub(crate) fn destination(&mut self) -> Result<Option<(DestinationId, &'a [u8])>, CodecError> {
        if self.0.is_empty() {
            return Ok(None);
        }
        let id = DestinationId(i64::from_le_bytes(self.array()?));
        let start = self.0;
        self.check_body()?;
        let (body, _) = start.split_at_checked(start.len() - self.0.len()).ok_or(CodecError::Truncated)?;
        Ok(Some((id, body)))
    }

    fn check_body(&mut self) -> Result<(), CodecError> {
        let count = usize::from(self.byte()?);
        if count == 0 || count > MAX_ENDPOINTS {
            return Err(CodecError::EndpointCount(count));
        }
        let mut last = "";
        for _ in 0..count {
            let endpoint = self.endpoint()?;
            // An id is never empty, so the first one is greater than the empty string.
            if endpoint.id <= last {
                return Err(CodecError::Order);
            }
            last = endpoint.id;
        }
        Ok(())
    }

    fn endpoint(&mut self) -> Result<EndpointRef<'a>, CodecError> {
        let endpoint = EndpointRef {
            id: self.name()?,
            address: self.address()?,
            kind: self.name()?,
            zone: self.name()?,
            phase: self.phase()?,
            rate_per_s: f64::from_le_bytes(self.array()?),
        };
        endpoint.validate()?;
        Ok(endpoint)
    }

    fn phase(&mut self) -> Result<Phase, CodecError> {
        match self.byte()? {
            0 => Ok(Phase::Ready),
            1 => Ok(Phase::Draining),
            other => Err(CodecError::Tag(other)),
        }
    }

    fn address(&mut self) -> Result<SocketAddr, CodecError> {
        let ip = match self.byte()? {
            4 => IpAddr::from(self.array::<4>()?),
            6 => IpAddr::from(self.array::<16>()?),
            other => return Err(CodecError::Tag(other)),
        };
        Ok(SocketAddr::new(ip, u16::from_le_bytes(self.array()?)))
    }

    fn name(&mut self) -> Result<&'a str, CodecError> {
        let length = usize::from(self.byte()?);
        let (name, rest) = self.0.split_at_checked(length).ok_or(CodecError::Truncated)?;
        self.0 = rest;
        std::str::from_utf8(name).map_err(|_| CodecError::Utf8)
    }

    fn byte(&mut self) -> Result<u8, CodecError> {
        self.array().map(|[byte]| byte)
    }

    fn array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], CodecError> {
        let (array, rest) = self.0.split_first_chunk().ok_or(CodecError::Truncated)?;
        self.0 = rest;
        Ok(*array)
    }
}

/// The endpoints in a validated body.
#[derive(Debug, Clone)]
pub(crate) struct Endpoints<'a> {
    reader: Reader<'a>,
    left: u8,
}

impl<'a> Endpoints<'a> {
    pub(crate) fn new(body: &'a [u8]) -> Self {
        let mut reader = Reader::new(body);
        let left = reader.byte().unwrap_or(0);
        Self { reader, left }
    }
}

impl<'a> Iterator for Endpoints<'a> {
    type Item = EndpointRef<'a>;

    fn next(&mut self) -> Option<EndpointRef<'a>> {
        self.left = self.left.checked_sub(1)?;
        self.reader.endpoint().ok()
    }

    fn size_hint(&self) -> (usize, Option<usize>) {
        (self.left.into(), Some(self.left.into()))
    }
}

impl ExactSizeIterator for Endpoints<'_> {}

/// Why bytes are not canonical.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum CodecError {
    /// The bytes end within a destination.
    #[error("the bytes end within a destination")]
    Truncated,
    /// A destination has no endpoint, or more than [`MAX_ENDPOINTS`].
    #[error("{0} endpoints; a destination has 1 to {MAX_ENDPOINTS}")]
    EndpointCount(usize),
    /// Destinations or endpoints are not in strictly ascending order.
    #[error("destinations or endpoints are duplicated or out of order")]
    Order,
    /// An unknown tag.
    #[error("unknown tag {0}")]
    Tag(u8),
    /// A name is not UTF-8.
    #[error("a name is not UTF-8")]
    Utf8,
    /// An endpoint exceeds a bound.
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
}

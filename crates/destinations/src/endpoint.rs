//! Destinations and their endpoints, as changes and callers use them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of the id, kind or zone of an endpoint, in bytes of UTF-8.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of endpoints of one destination.
pub const MAX_ENDPOINTS: usize = 32;

/// Identifies a destination. A destination is in the set exactly while it has an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub i64);

impl fmt::Display for DestinationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts new work.
    Ready,
    /// Finishes its present work and accepts no new work.
    Draining,
}

/// An endpoint of a destination with owned strings, as changes contain it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique within the destination.
    pub id: String,
    /// Its address. The flow label and scope of an IPv6 address are not stored.
    pub address: SocketAddr,
    /// Its kind, which names its protocol.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// Maximum rate that it accepts, in messages per second; finite and not negative.
    pub rate_per_s: f64,
}

impl Endpoint {
    /// Checks the bounds that hold for every endpoint of a set.
    ///
    /// # Errors
    /// The first bound that is exceeded.
    pub fn validate(&self) -> Result<(), EndpointError> {
        self.as_ref().validate()
    }

    /// Borrows the strings.
    pub fn as_ref(&self) -> EndpointRef<'_> {
        EndpointRef {
            id: &self.id,
            address: self.address,
            kind: &self.kind,
            zone: &self.zone,
            phase: self.phase,
            rate_per_s: self.rate_per_s,
        }
    }
}

/// An endpoint borrowed from the set; the fields are those of [`Endpoint`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRef<'a> {
    /// Unique within the destination.
    pub id: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Its kind, which names its protocol.
    pub kind: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// Maximum rate that it accepts, in messages per second.
    pub rate_per_s: f64,
}

impl EndpointRef<'_> {
    /// Copies it into an [`Endpoint`].
    pub fn to_endpoint(&self) -> Endpoint {
        Endpoint {
            id: self.id.to_owned(),
            address: self.address,
            kind: self.kind.to_owned(),
            zone: self.zone.to_owned(),
            phase: self.phase,
            rate_per_s: self.rate_per_s,
        }
    }

    pub(crate) fn validate(&self) -> Result<(), EndpointError> {
        for name in [self.id, self.kind, self.zone] {
            if name.len() > MAX_NAME_BYTES {
                return Err(EndpointError::NameTooLong(name.len()));
            }
        }
        if self.id.is_empty() {
            return Err(EndpointError::EmptyId);
        }
        // The sign is checked as well: 0.0 and -0.0 are equal but have different digests.
        if !self.rate_per_s.is_finite() || self.rate_per_s.is_sign_negative() {
            return Err(EndpointError::Rate(self.rate_per_s));
        }
        Ok(())
    }
}

/// Why an endpoint cannot be part of a set.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum EndpointError {
    /// The id, kind or zone exceeds [`MAX_NAME_BYTES`].
    #[error("a name of {0} bytes exceeds {MAX_NAME_BYTES}")]
    NameTooLong(usize),
    /// The id is empty.
    #[error("the endpoint's id is empty")]
    EmptyId,
    /// The rate is not a finite number of zero or more.
    #[error("the rate {0} is not a finite number of zero or more")]
    Rate(f64),
}

//! Destinations and their endpoints, as messages and callers name them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest id, kind or zone of an endpoint, in bytes of UTF-8.
pub const MAX_NAME_BYTES: usize = 128;

/// The most endpoints of one destination.
pub const MAX_ENDPOINTS: usize = 32;

/// Names one destination. A destination is in the set exactly while it has an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub i64);

impl fmt::Display for DestinationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
}

/// One endpoint of a destination, owning its strings: the form in which changes carry it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique within the destination.
    pub id: String,
    /// Where it listens. Flow label and scope of an IPv6 address are not kept.
    pub address: SocketAddr,
    /// What the endpoint speaks.
    pub kind: String,
    /// Where it stands.
    pub zone: String,
    /// Whether it takes new work.
    pub phase: Phase,
    /// What it accepts, in messages per second; finite and not negative.
    pub rate_per_s: f64,
}

impl Endpoint {
    /// Checks the bounds that hold for every endpoint of a set.
    ///
    /// # Errors
    /// The first bound that is broken.
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

/// One endpoint as the set lends it; fields as in [`Endpoint`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRef<'a> {
    /// Unique within the destination.
    pub id: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the endpoint speaks.
    pub kind: &'a str,
    /// Where it stands.
    pub zone: &'a str,
    /// Whether it takes new work.
    pub phase: Phase,
    /// What it accepts, in messages per second.
    pub rate_per_s: f64,
}

impl EndpointRef<'_> {
    /// Copies into the owning form.
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
        // The sign is looked at, too: 0.0 and -0.0 are equal but would not give the same digest.
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

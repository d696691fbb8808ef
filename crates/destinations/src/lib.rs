//! The replicated destination set: the endpoints of each destination, identical on every relay.
//!
//! The control cluster publishes numbered, signed changes ([`SignedChange`]). Every relay holds the whole set
//! ([`DestinationSet`]) and applies each change atomically. Each change contains digests of the set before and after it,
//! so two relays at one version hold the same set or detect that they do not. A relay that missed changes requests
//! them ([`ChangeLog`]) or, if they are no longer kept, the buckets in which its set differs ([`Manifest`],
//! [`SnapshotInstall`]).
//!
//! The crate does no I/O and has no clock. All input bytes are untrusted until they are verified.
#![forbid(unsafe_code)]

mod bucket;
mod change;
mod codec;
mod digest;
mod endpoint;
mod log;
pub mod persist;
mod set;
mod signature;
mod snapshot;
mod staging;
mod stored;
mod version;

pub use bucket::{BUCKETS, BucketError, CodecError, MAX_BUCKET_BYTES, bucket_of};
pub use change::{Change, DecodeError, MAX_CHANGE_BYTES, MAX_OPERATIONS, Operation};
pub use digest::Digest;
pub use endpoint::{
    DestinationId, Endpoint, EndpointError, EndpointRef, MAX_ENDPOINTS, MAX_NAME_BYTES, Phase,
};
pub use log::{ChangeLog, LogError, LogLimits};
pub use set::{Applied, ApplyError, Destination, DestinationChange, DestinationSet};
pub use signature::{ControlKeys, KeyError, MAX_CONTROL_KEYS, SIGNATURE_BYTES, SignedChange, VerifyError};
pub use snapshot::{InstallError, Manifest, ManifestError, SnapshotInstall};
pub use version::Version;

pub use ed25519_dalek::{SigningKey, VerifyingKey};

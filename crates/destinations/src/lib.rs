//! The replicated destination set: which endpoints stand for which destination, the same on every relay.
//!
//! The control cluster publishes numbered, signed changes ([`SignedChange`]). Every relay holds the whole set
//! ([`DestinationSet`]) and applies each change whole or not at all. A digest of the set before and after is part
//! of each change, so two relays at one version hold the same set or know that they do not. A relay that was away
//! asks for the changes it lacks ([`ChangeLog`]) or, where those are gone, for the buckets in which it differs
//! ([`Manifest`], [`SnapshotInstall`]).
//!
//! The crate does no I/O and has no clock. All bytes that come in are taken for hostile until proven otherwise.
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

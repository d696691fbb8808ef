//! Why something that came is refused, and how often each reason occurred.

use std::collections::BTreeMap;

use destinations::{ApplyError, DecodeError, InstallError, ManifestError, VerifyError, Version};
use fleet::Peer;

use crate::reassembly::FragmentError;

/// Why a message, a change or a part of a snapshot is refused. The state is as it was before.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RolloutError {
    /// A frame, or a message in it, is malformed or beyond its bounds.
    #[error("a message is malformed")]
    Malformed,
    /// It comes from a machine that was not asked for it.
    #[error("machine {0} was not asked")]
    Unasked(Peer),
    /// A fragment does not fit the others.
    #[error(transparent)]
    Fragment(#[from] FragmentError),
    /// The bytes are no signed change.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// No control key signed the change, or what it covers is no change.
    #[error(transparent)]
    Verify(#[from] VerifyError),
    /// The change leads to another version than its fragments named.
    #[error("fragments of {named} make up the change to {got}")]
    Mislabelled {
        /// The version in the fragments.
        named: Version,
        /// The version in the change.
        got: Version,
    },
    /// The change cannot be applied to the set.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The manifest of a snapshot does not hold.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A part of a snapshot cannot be taken.
    #[error(transparent)]
    Install(#[from] InstallError),
    /// An upstream has the same version with another set.
    #[error("machine {0} holds another set of the same version")]
    Diverged(Peer),
    /// Only a control machine may publish.
    #[error("only a control machine may publish")]
    NotControl,
}

/// The kinds of refusals that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Malformed, cut or beyond a bound.
    Malformed,
    /// Not signed by a control key.
    Forged,
    /// Of a machine that was not asked.
    Unasked,
    /// Applied before, or a fragment that came before.
    Doubled,
    /// Changes before it are missing; it is kept for a while, if it is near.
    OutOfOrder,
    /// Of an epoch that has ended.
    OlderEpoch,
    /// Names a destination or an endpoint that the set does not have.
    Unknown,
    /// Does not follow the set that is held, or does not lead to the digest that it names.
    Diverged,
    /// Breaks another bound of the set.
    Invalid,
    /// A part of a snapshot that does not fit its manifest, or a manifest that nothing vouches for.
    Snapshot,
}

impl RolloutError {
    /// Under which kind it is counted.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Malformed | Self::Decode(_) | Self::Mislabelled { .. } => Kind::Malformed,
            Self::Unasked(_) | Self::NotControl => Kind::Unasked,
            Self::Fragment(FragmentError::Doubled) | Self::Install(InstallError::AlreadyReceived(_)) => {
                Kind::Doubled
            }
            Self::Fragment(_) => Kind::Malformed,
            Self::Verify(VerifyError::Signature) => Kind::Forged,
            Self::Verify(VerifyError::Decode(_)) => Kind::Malformed,
            Self::Apply(why) => kind_of_apply(why),
            Self::Manifest(_) | Self::Install(_) => Kind::Snapshot,
            Self::Diverged(_) => Kind::Diverged,
        }
    }
}

fn kind_of_apply(why: &ApplyError) -> Kind {
    match why {
        ApplyError::Older { .. } => Kind::Doubled,
        ApplyError::Gap { .. } | ApplyError::OtherEpoch { .. } => Kind::OutOfOrder,
        ApplyError::OlderEpoch { .. } => Kind::OlderEpoch,
        ApplyError::UnknownDestination(_) | ApplyError::UnknownEndpoint(..) => Kind::Unknown,
        ApplyError::PreviousDigest | ApplyError::Digest => Kind::Diverged,
        ApplyError::TooLarge(..)
        | ApplyError::Endpoint(_)
        | ApplyError::Encoding(_)
        | ApplyError::NumbersUsedUp => Kind::Invalid,
    }
}

/// What one machine counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Changes that were verified and applied.
    pub applied: u64,
    /// Snapshots that were installed.
    pub installed: u64,
    /// Changes sent to subscribers, repeated ones included.
    pub pushed: u64,
    /// Changes sent on request.
    pub caught_up: u64,
    /// Bytes of snapshots sent.
    pub snapshot_bytes: u64,
    /// Subscriptions that were refused here.
    pub refused: u64,
    /// Upstreams that were replaced because they did not answer.
    pub replaced: u64,
    /// What was refused, by kind.
    pub rejected: BTreeMap<Kind, u64>,
}

impl Counts {
    /// What was refused of a kind.
    pub fn of(&self, kind: Kind) -> u64 {
        self.rejected.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn reject(&mut self, kind: Kind) {
        *self.rejected.entry(kind).or_default() += 1;
    }
}

//! The digest of a set: a hash tree over its buckets.
//!
//! A leaf is the SHA-256 of a bucket's canonical bytes, so it depends on the bucket's content and not on the order of
//! changes. Leaves are hashed in groups, and the groups into the root. A change rehashes the buckets it touches, their
//! groups and the root. A sum of entry hashes would be cheaper, but an attacker who can choose entries can find others
//! with the same sum (Wagner 2002, "A generalized birthday problem"), and a snapshot's buckets come from peers.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::bucket::BUCKETS;

/// The number of leaves under one inner node; its square is [`BUCKETS`].
const GROUP: usize = 32;

const LEAF_DOMAIN: &[u8] = b"tulipfall destinations bucket 1";
const GROUP_DOMAIN: &[u8] = b"tulipfall destinations group 1";
const ROOT_DOMAIN: &[u8] = b"tulipfall destinations set 1";

/// The SHA-256 digest of a set or of one of its buckets.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// The digest of the bucket `index` with these canonical bytes.
pub(crate) fn bucket_digest(index: u16, bytes: &[u8]) -> Digest {
    hash(LEAF_DOMAIN, [&index.to_le_bytes()[..], bytes])
}

/// The digest of a set, with the digests of its buckets and of the inner nodes.
#[derive(Debug, Clone)]
pub(crate) struct DigestTree {
    leaves: Vec<Digest>,
    groups: Vec<Digest>,
    root: Digest,
}

impl DigestTree {
    /// Builds the tree over the digests of all [`BUCKETS`] buckets.
    pub(crate) fn new(leaves: Vec<Digest>) -> Self {
        let groups: Vec<Digest> = leaves.chunks(GROUP).map(|group| hash_nodes(GROUP_DOMAIN, group)).collect();
        let root = hash_nodes(ROOT_DOMAIN, &groups);
        Self { leaves, groups, root }
    }

    /// The tree of an empty set.
    pub(crate) fn empty() -> Self {
        Self::new((0..BUCKETS as u16).map(|index| bucket_digest(index, &[])).collect())
    }

    pub(crate) fn root(&self) -> Digest {
        self.root
    }

    pub(crate) fn leaves(&self) -> &[Digest] {
        &self.leaves
    }

    /// Replaces some leaves and updates the nodes above them.
    pub(crate) fn update(&mut self, replaced: impl IntoIterator<Item = (u16, Digest)>) {
        let mut stale = [false; BUCKETS / GROUP];
        for (index, digest) in replaced {
            self.leaves[usize::from(index)] = digest;
            stale[usize::from(index) / GROUP] = true;
        }
        for (group, leaves) in self.leaves.chunks(GROUP).enumerate().filter(|(group, _)| stale[*group]) {
            self.groups[group] = hash_nodes(GROUP_DOMAIN, leaves);
        }
        self.root = hash_nodes(ROOT_DOMAIN, &self.groups);
    }
}

fn hash_nodes(domain: &[u8], nodes: &[Digest]) -> Digest {
    hash(domain, nodes.iter().map(|node| &node.0[..]))
}

fn hash<'a>(domain: &[u8], parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = Sha256::new_with_prefix(domain);
    parts.into_iter().for_each(|part| hasher.update(part));
    Digest(hasher.finalize().into())
}

//! Serves snapshots to machines that lag too far behind for the change log.
//!
//! A transfer takes minutes while the set moves on. So the server pins the version at which a transfer began: it keeps
//! the manifest, and, of every bucket that changes later, the state that the manifest names.

use std::collections::{BTreeMap, VecDeque};

use destinations::{
    Change, DestinationId, DestinationSet, Manifest, Operation, SignedChange, Version, bucket_of,
};
use fleet::{Micros, Peer, SECOND};

use crate::budget::Budget;
use crate::message::{Message, Part, ShortDigest, Unavailable};
use crate::reassembly::split;

/// Machines that are served at a time; further ones are told to ask elsewhere.
pub const MOST_TRANSFERS: usize = 4;
/// Versions that are pinned at a time, each with its manifest of 33 KB and the buckets that changed since.
const MOST_PINNED: usize = 2;
/// A pinned version of which nothing was requested for so long is dropped, in microseconds.
const PIN_IDLE: Micros = 30 * SECOND;
/// A transfer of which nothing was requested for so long frees its place, in microseconds.
const TRANSFER_IDLE: Micros = 10 * SECOND;

/// A version that is served while the set moves on.
#[derive(Debug)]
struct Pinned {
    manifest: Manifest,
    vouched_by: SignedChange,
    /// The canonical bytes of buckets that have changed since, as they were.
    before: BTreeMap<u16, Vec<u8>>,
    used: Micros,
}

impl Pinned {
    fn bucket(&self, set: &DestinationSet, index: u16, digest: ShortDigest) -> Option<Vec<u8>> {
        let held = self.manifest.bucket_digests.get(usize::from(index)).copied().map(ShortDigest::from);
        if held != Some(digest) {
            return None;
        }
        self.before.get(&index).cloned().or_else(|| set.bucket(index))
    }

    fn part(&self, set: &DestinationSet, part: Part) -> Option<Vec<u8>> {
        match part {
            Part::Manifest => encode_manifest(&self.vouched_by, &self.manifest),
            Part::Bucket { index, digest } => self.bucket(set, index, digest),
        }
    }
}

/// One machine that is served: the fragments it still waits for.
#[derive(Debug)]
struct Transfer {
    request: u16,
    count: u16,
    fragments: VecDeque<(u16, Vec<u8>)>,
    asked: Micros,
}

/// All transfers from one machine.
#[derive(Debug, Default)]
pub struct SnapshotServer {
    pinned: Vec<Pinned>,
    transfers: BTreeMap<Peer, Transfer>,
    /// Who was served last; the next one in turn goes on.
    last: Peer,
}

impl SnapshotServer {
    /// Takes a request for a part of the snapshot of a version. The newer request of a machine replaces its older one.
    ///
    /// # Errors
    /// Why it is not served.
    pub fn request(
        &mut self, now: Micros, from: Peer, set: &DestinationSet, newest: Option<&SignedChange>,
        (request, version, part, missing): (u16, Version, Part, &[u16]),
    ) -> Result<(), Unavailable> {
        self.transfers.retain(|_, transfer| now - transfer.asked < TRANSFER_IDLE);
        if self.transfers.len() >= MOST_TRANSFERS && !self.transfers.contains_key(&from) {
            return Err(Unavailable::Busy);
        }
        let bytes = self.part(now, set, newest, version, part)?;
        let fragments = split(&bytes);
        let count = u16::try_from(fragments.len()).unwrap_or(u16::MAX);
        let wanted = |index: &u16| missing.is_empty() || missing.contains(index);
        let fragments = (0..count).zip(fragments).filter(|(index, _)| wanted(index));
        let fragments = fragments.map(|(index, bytes)| (index, bytes.to_vec())).collect();
        self.transfers.insert(from, Transfer { request, count, fragments, asked: now });
        Ok(())
    }

    /// Keeps what a change is about to replace in pinned versions.
    pub fn before_change(&mut self, now: Micros, set: &DestinationSet, change: &Change) {
        self.pinned.retain(|pinned| now - pinned.used < PIN_IDLE);
        for index in change.operations.iter().map(|operation| bucket_of(destination(operation))) {
            for pinned in &mut self.pinned {
                let encode = || set.bucket(index).unwrap_or_default();
                pinned.before.entry(index).or_insert_with(encode);
            }
        }
    }

    /// The whole set is replaced: nothing is pinned any more.
    pub fn clear(&mut self) {
        self.pinned.clear();
        self.transfers.clear();
    }

    /// Fragments to send now within the budget, one machine after the other.
    pub fn poll(&mut self, now: Micros, budget: &mut Budget, out: &mut Vec<(Peer, Message)>) -> u64 {
        let mut sent = 0;
        while let Some(peer) = self.next_peer() {
            let Some(transfer) = self.transfers.get_mut(&peer) else { break };
            let Some((_, bytes)) = transfer.fragments.front() else { break };
            if !budget.take(now, bytes.len()) {
                break;
            }
            let Some((index, bytes)) = transfer.fragments.pop_front() else { break };
            sent += bytes.len() as u64;
            let (request, count) = (transfer.request, transfer.count);
            out.push((peer, Message::PartFragment { request, index, count, bytes }));
            self.last = peer;
        }
        sent
    }

    /// Whether something waits for the budget.
    pub fn waits(&self) -> bool {
        self.next_peer().is_some()
    }

    /// The machine whose turn it is.
    fn next_peer(&self) -> Option<Peer> {
        let waiting = || self.transfers.iter().filter(|(_, transfer)| !transfer.fragments.is_empty());
        let after = waiting().find(|(peer, _)| **peer > self.last);
        after.or_else(|| waiting().next()).map(|(peer, _)| *peer)
    }

    fn part(
        &mut self, now: Micros, set: &DestinationSet, newest: Option<&SignedChange>, version: Version,
        part: Part,
    ) -> Result<Vec<u8>, Unavailable> {
        if let Some(bytes) = self.pinned_part(now, set, version, part) {
            return Ok(bytes);
        }
        // A bucket is mostly the same in the version that is in force here.
        let is_pinned = self.pinned.iter().any(|pinned| pinned.manifest.version == set.version());
        if !is_pinned && (set.version() == version || part != Part::Manifest) {
            self.pin(now, set, newest);
        }
        self.pinned_part(now, set, version, part).ok_or(Unavailable::NotHeld)
    }

    /// A part of a pinned version: the manifest of that very one, or a bucket of any in which it is the same.
    fn pinned_part(
        &mut self, now: Micros, set: &DestinationSet, version: Version, part: Part,
    ) -> Option<Vec<u8>> {
        let usable = |pinned: &&mut Pinned| part != Part::Manifest || pinned.manifest.version == version;
        self.pinned.iter_mut().filter(usable).find_map(|pinned| {
            let bytes = pinned.part(set, part)?;
            pinned.used = now;
            Some(bytes)
        })
    }

    fn pin(&mut self, now: Micros, set: &DestinationSet, newest: Option<&SignedChange>) {
        self.pinned.retain(|pinned| now - pinned.used < PIN_IDLE);
        let Some(vouched_by) = newest.cloned().filter(|_| self.pinned.len() < MOST_PINNED) else { return };
        let manifest = set.manifest();
        self.pinned.push(Pinned { manifest, vouched_by, before: BTreeMap::new(), used: now });
    }
}

/// A manifest behind the signed change that vouches for it.
fn encode_manifest(vouched_by: &SignedChange, manifest: &Manifest) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_allocvec(vouched_by).ok()?;
    bytes.extend(manifest.encode().ok()?);
    Some(bytes)
}

fn destination(operation: &Operation) -> DestinationId {
    match operation {
        Operation::PutEndpoint { destination, .. }
        | Operation::RemoveEndpoint { destination, .. }
        | Operation::RemoveDestination { destination } => *destination,
    }
}

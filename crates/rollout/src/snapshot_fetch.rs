//! Fetches a snapshot: first its manifest, then only the buckets that differ, different ones from several sources.
//!
//! How long that takes: 56,000 destinations with two endpoints each are 4.6 MB of canonical bytes, and a source serves 4 KB/s.
//! A relay with an empty set that has [`MOST_SOURCES`] sources to itself needs a little over four minutes; from a single
//! source it would be nearly twenty. A relay that was away for a day differs in the buckets of the day's changes alone.

use std::collections::{BTreeMap, BTreeSet};

use destinations::{
    DestinationSet, MAX_BUCKET_BYTES, MAX_CHANGE_BYTES, Manifest, SIGNATURE_BYTES, SignedChange,
    SnapshotInstall, Version,
};
use fleet::{Micros, Peer, SECOND};

use crate::error::RolloutError;
use crate::message::{MOST_REQUESTED, Message, Part, ShortDigest, Unavailable};
use crate::reassembly::Assembly;
use crate::replica::Replica;

/// Machines from which parts are fetched at a time.
pub const MOST_SOURCES: usize = 6;
/// The fragments that are missing are requested again after so long without one, in microseconds.
const PART_TIMEOUT: Micros = 2 * SECOND;
/// Timeouts in a row after which a source is left out.
const MOST_TIMEOUTS: u32 = 4;
/// A source that is busy or silent is left out for so long, in microseconds.
const SOURCE_AVOIDED: Micros = 10 * SECOND;
/// Buckets in a row that a source may not have before it is left out for a while. A source that has an empty or much older set would
/// otherwise be asked for each bucket in turn.
const MOST_NOT_HELD: u32 = 4;
/// A fetch that took nothing in for so long is given up, in microseconds; the next one takes a newer version.
const GIVEN_UP: Micros = 30 * SECOND;
/// The largest manifest with the change that vouches for it, in bytes.
const MOST_MANIFEST_BYTES: usize = Manifest::MAX_BYTES + MAX_CHANGE_BYTES + SIGNATURE_BYTES + 8;

/// A part that a source was asked for.
#[derive(Debug)]
struct Request {
    number: u16,
    part: Part,
    assembly: Option<Assembly>,
    /// When something of it last came, or it was last asked for.
    at: Micros,
    timeouts: u32,
}

/// What is there of the snapshot.
#[derive(Debug)]
enum Stage {
    Manifest,
    Buckets { install: Box<SnapshotInstall>, vouched_by: SignedChange, digests: BTreeMap<u16, ShortDigest> },
}

/// How far a fetch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The version that is fetched.
    pub version: Version,
    /// Buckets still to come; none while the manifest has not come.
    pub missing_buckets: Option<usize>,
}

/// What a fragment brought about.
#[derive(Debug)]
pub enum Fetched {
    /// More is to come.
    Part,
    /// All parts are here.
    Whole(Box<SnapshotInstall>, SignedChange),
    /// Nothing vouches for the manifest: the fetch has come to nothing.
    Unsound(RolloutError),
}

/// One fetch of a snapshot.
#[derive(Debug)]
pub struct SnapshotFetch {
    version: Version,
    stage: Stage,
    requests: BTreeMap<Peer, Request>,
    avoided: BTreeMap<Peer, Micros>,
    /// Buckets of which a source has another state.
    not_held: BTreeSet<(Peer, Part)>,
    /// Buckets in a row that a source did not have.
    misses: BTreeMap<Peer, u32>,
    number: u16,
    progressed: Micros,
}

impl SnapshotFetch {
    /// Begins to fetch the snapshot of that version.
    pub fn new(version: Version, now: Micros) -> Self {
        SnapshotFetch {
            version,
            stage: Stage::Manifest,
            requests: BTreeMap::new(),
            avoided: BTreeMap::new(),
            not_held: BTreeSet::new(),
            misses: BTreeMap::new(),
            number: 0,
            progressed: now,
        }
    }

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        let missing_buckets = match &self.stage {
            Stage::Manifest => None,
            Stage::Buckets { install, .. } => Some(install.missing().count()),
        };
        Progress { version: self.version, missing_buckets }
    }

    /// Whether nothing came for so long that it is to be given up.
    pub fn is_stuck(&self, now: Micros) -> bool {
        now - self.progressed >= GIVEN_UP
    }

    /// Asks idle sources for parts, and again for fragments that did not come.
    pub fn poll(&mut self, now: Micros, sources: &[Peer], out: &mut Vec<(Peer, Message)>) {
        self.ask_again(now, out);
        for source in sources {
            let avoided = self.avoided.get(source).is_some_and(|until| *until > now);
            if self.requests.len() >= MOST_SOURCES || avoided || self.requests.contains_key(source) {
                continue;
            }
            let Some(part) = self.next_part(*source) else { continue };
            self.number = self.number.wrapping_add(1);
            let request = Request { number: self.number, part, assembly: None, at: now, timeouts: 0 };
            out.push((*source, self.message(&request)));
            self.requests.insert(*source, request);
        }
    }

    /// When [`SnapshotFetch::poll`] has something to do next.
    pub fn next_at(&self) -> Micros {
        let timeouts = self.requests.values().map(|request| request.at + PART_TIMEOUT);
        timeouts.chain([self.progressed + GIVEN_UP]).min().unwrap_or(Micros::MAX)
    }

    /// Takes a fragment.
    ///
    /// # Errors
    /// If it was not asked for, or the bucket that it completes does not hold, which is then fetched elsewhere.
    pub fn take(
        &mut self, now: Micros, from: Peer, replica: &Replica,
        (number, index, count, bytes): (u16, u16, u16, Vec<u8>),
    ) -> Result<Fetched, RolloutError> {
        let request = self.requests.get_mut(&from).filter(|request| request.number == number);
        let request = request.ok_or(RolloutError::Unasked(from))?;
        let assembly = match &mut request.assembly {
            Some(assembly) => assembly,
            empty => empty.insert(Assembly::new(usize::from(count), most_bytes(request.part))?),
        };
        let whole = assembly.take(usize::from(index), usize::from(count), bytes)?;
        (request.at, request.timeouts) = (now, 0);
        self.progressed = now;
        self.misses.remove(&from);
        let Some(bytes) = whole else { return Ok(Fetched::Part) };
        let part = request.part;
        self.requests.remove(&from);
        let taken = self.take_part(replica, part, &bytes);
        if taken.is_err() {
            self.avoided.insert(from, now + SOURCE_AVOIDED);
        }
        taken
    }

    /// A source does not serve what it was asked for.
    pub fn unavailable(&mut self, now: Micros, from: Peer, number: u16, why: Unavailable) {
        if self.requests.get(&from).is_none_or(|request| request.number != number) {
            return;
        }
        let Some(Request { part, .. }) = self.requests.remove(&from) else { return };
        if why == Unavailable::NotHeld && part != Part::Manifest {
            self.not_held.insert((from, part));
            self.missed(now, from);
        } else {
            self.avoided.insert(from, now + SOURCE_AVOIDED);
        }
    }

    /// A source did not have a bucket once more.
    fn missed(&mut self, now: Micros, from: Peer) {
        let misses = self.misses.entry(from).or_default();
        *misses += 1;
        if *misses >= MOST_NOT_HELD {
            self.misses.remove(&from);
            self.avoided.insert(from, now + SOURCE_AVOIDED);
        }
    }

    fn take_part(&mut self, replica: &Replica, part: Part, bytes: &[u8]) -> Result<Fetched, RolloutError> {
        match (part, &mut self.stage) {
            (Part::Manifest, Stage::Manifest) => {
                if let Err(why) = self.take_manifest(replica, bytes) {
                    return Ok(Fetched::Unsound(why));
                }
            }
            (Part::Bucket { index, .. }, Stage::Buckets { install, .. }) => install.take(index, bytes)?,
            _ => {}
        }
        match std::mem::replace(&mut self.stage, Stage::Manifest) {
            Stage::Buckets { install, vouched_by, .. } if install.missing().next().is_none() => {
                Ok(Fetched::Whole(install, vouched_by))
            }
            stage => {
                self.stage = stage;
                Ok(Fetched::Part)
            }
        }
    }

    fn take_manifest(&mut self, replica: &Replica, bytes: &[u8]) -> Result<(), RolloutError> {
        let (vouched_by, rest) =
            postcard::take_from_bytes::<SignedChange>(bytes).map_err(|_| RolloutError::Malformed)?;
        let manifest = Manifest::decode(rest)?;
        let digests = differing(replica.set(), &manifest);
        let install = Box::new(replica.begin(manifest, &vouched_by)?);
        self.version = install.version();
        self.stage = Stage::Buckets { install, vouched_by, digests };
        Ok(())
    }

    /// The next part for a source: one that no other was asked for, and that it may have.
    fn next_part(&self, source: Peer) -> Option<Part> {
        let asked: BTreeSet<Part> = self.requests.values().map(|request| request.part).collect();
        let free = |part: &Part| !asked.contains(part) && !self.not_held.contains(&(source, *part));
        match &self.stage {
            Stage::Manifest => Some(Part::Manifest).filter(free),
            Stage::Buckets { install, digests, .. } => install
                .missing()
                .filter_map(|index| Some(Part::Bucket { index, digest: *digests.get(&index)? }))
                .find(free),
        }
    }

    fn ask_again(&mut self, now: Micros, out: &mut Vec<(Peer, Message)>) {
        let late: Vec<Peer> = self
            .requests
            .iter()
            .filter(|(_, request)| now - request.at >= PART_TIMEOUT)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in late {
            let Some(mut request) = self.requests.remove(&peer) else { continue };
            request.timeouts += 1;
            request.at = now;
            if request.timeouts >= MOST_TIMEOUTS {
                self.avoided.insert(peer, now + SOURCE_AVOIDED);
                continue;
            }
            out.push((peer, self.message(&request)));
            self.requests.insert(peer, request);
        }
    }

    fn message(&self, request: &Request) -> Message {
        let missing = request.assembly.as_ref().map(|assembly| assembly.missing(MOST_REQUESTED));
        Message::PartRequest {
            request: request.number,
            version: self.version,
            part: request.part,
            missing: missing.unwrap_or_default(),
        }
    }
}

fn most_bytes(part: Part) -> usize {
    match part {
        Part::Manifest => MOST_MANIFEST_BYTES,
        Part::Bucket { .. } => MAX_BUCKET_BYTES,
    }
}

/// The buckets in which a set differs from a manifest, with their digests.
fn differing(set: &DestinationSet, manifest: &Manifest) -> BTreeMap<u16, ShortDigest> {
    let digest = |index: u16| Some((index, (*manifest.bucket_digests.get(usize::from(index))?).into()));
    set.differing(manifest).into_iter().filter_map(digest).collect()
}

//! Helpers shared by the tests.
#![allow(dead_code)]

use destinations::{
    Change, ControlKeys, DestinationId, DestinationSet, Digest, Endpoint, Manifest, Operation, Phase,
    SignedChange, SigningKey, Version,
};
use sha2::{Digest as _, Sha256};

pub fn endpoint(id: &str, port: u16) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        kind: "http".to_owned(),
        zone: "north".to_owned(),
        phase: Phase::Ready,
        rate_per_s: 100.0,
    }
}

pub fn put(destination: i64, id: &str, port: u16) -> Operation {
    Operation::PutEndpoint { destination: DestinationId(destination), endpoint: endpoint(id, port) }
}

pub fn remove(destination: i64, id: &str) -> Operation {
    Operation::RemoveEndpoint { destination: DestinationId(destination), endpoint_id: id.to_owned() }
}

pub fn remove_all(destination: i64) -> Operation {
    Operation::RemoveDestination { destination: DestinationId(destination) }
}

/// Prepares and applies the operations as one change.
pub fn publish(set: &mut DestinationSet, operations: Vec<Operation>) -> Change {
    let change = set.prepare(operations).expect("operations fit the set");
    set.apply(&change).expect("a prepared change applies");
    change
}

/// A set of destinations 0 to `count` with one endpoint each, and the last change.
pub fn filled(count: i64) -> (DestinationSet, Change) {
    let mut set = DestinationSet::new();
    let ids: Vec<i64> = (0..count).collect();
    let mut last = set.prepare(vec![]).expect("an empty change");
    for ids in ids.chunks(50) {
        last = publish(&mut set, ids.iter().map(|id| put(*id, "a", 80)).collect());
    }
    (set, last)
}

/// The content of a set, in the set's order.
pub fn content(set: &DestinationSet) -> Vec<(DestinationId, Vec<Endpoint>)> {
    let owned = |destination: destinations::Destination<'_>| {
        (destination.id(), destination.endpoints().map(|endpoint| endpoint.to_endpoint()).collect())
    };
    set.iter().map(owned).collect()
}

pub fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

pub fn control_keys(seeds: &[u8]) -> ControlKeys {
    let keys: Vec<_> = seeds.iter().map(|seed| key(*seed).verifying_key().to_bytes()).collect();
    ControlKeys::new(&keys).expect("usable keys")
}

pub fn signed(change: &Change) -> SignedChange {
    SignedChange::sign(change, &key(1)).expect("within bounds")
}

/// A manifest that differs from the empty set in one bucket of these bytes, and a change that authenticates it. The
/// hash tree is computed here independently, from its description.
pub fn authenticated(index: u16, bytes: &[u8]) -> (Manifest, Change) {
    let hash = |parts: &[&[u8]]| Digest(Sha256::digest(parts.concat()).into());
    let nodes = |nodes: &[Digest]| nodes.iter().flat_map(|node| node.0).collect::<Vec<u8>>();
    let mut bucket_digests = DestinationSet::new().manifest().bucket_digests;
    let domain = b"tulipfall destinations bucket 1";
    bucket_digests[usize::from(index)] = hash(&[domain, &index.to_le_bytes(), bytes]);
    let group = |group: &[Digest]| hash(&[b"tulipfall destinations group 1", &nodes(group)]);
    let groups: Vec<Digest> = bucket_digests.chunks(32).map(group).collect();
    let digest = hash(&[b"tulipfall destinations set 1", &nodes(&groups)]);
    let version = Version { epoch: 0, number: 1 };
    let change =
        Change { version, previous_digest: DestinationSet::new().digest(), digest, operations: vec![] };
    (Manifest { version, digest, bucket_digests }, change)
}

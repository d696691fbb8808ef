//! The operators' side: the destinations at the start, and the changes that are proposed one after the other.

use destinations::{
    Change, ControlKeys, DestinationId, DestinationSet, Endpoint, MAX_OPERATIONS, Operation, Phase,
    SignedChange, SigningKey, persist,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Endpoints of a destination at the start.
const ENDPOINTS: u32 = 2;

/// The key of a control machine.
pub(super) fn control_key(control: usize) -> SigningKey {
    SigningKey::from_bytes(&[control as u8 + 1; 32])
}

/// The public keys of that many control machines.
///
/// # Panics
/// If there are more than a fleet may have; the scenario was checked before.
pub(super) fn control_keys(controls: usize) -> ControlKeys {
    let keys: Vec<[u8; 32]> =
        (0..controls).map(|control| control_key(control).verifying_key().to_bytes()).collect();
    ControlKeys::new(&keys).expect("usable keys")
}

/// An endpoint as operators write it.
fn endpoint(destination: i64, number: u32, port: u16) -> Endpoint {
    Endpoint {
        id: format!("d{destination}-{number}"),
        address: ([10, (destination >> 8) as u8, destination as u8, number as u8], port).into(),
        kind: "http".into(),
        zone: format!("zone-{}", number % 14),
        phase: Phase::Ready,
        rate_per_s: 50.0,
    }
}

/// A set of that many destinations as the control machines published it, with the change that led to it.
///
/// # Panics
/// If an operation does not fit, which none does that is made here.
pub fn base(destinations: u32) -> (DestinationSet, SignedChange) {
    let mut set = DestinationSet::new();
    let mut newest = None;
    let all: Vec<Operation> = (0..i64::from(destinations))
        .flat_map(|id| (0..ENDPOINTS).map(move |number| (id, number)))
        .map(|(id, number)| put(id, number, 80))
        .collect();
    for operations in all.chunks(MAX_OPERATIONS / 2) {
        let change = set.prepare(operations.to_vec()).expect("it fits");
        set.apply(&change).expect("it was prepared for this set");
        newest = Some(sign(&change, 0));
    }
    (set, newest.expect("there is a destination"))
}

/// A copy of a set, by way of its file.
pub(super) fn copy(set: &DestinationSet) -> DestinationSet {
    let mut decoder = persist::Decoder::new();
    for piece in persist::encode(set) {
        decoder.push(&piece).expect("it was encoded just now");
    }
    decoder.finish().expect("it was encoded just now")
}

/// A change as operators make most: one endpoint of one destination moves to another port.
pub fn operations(random: &mut ChaCha8Rng, destinations: u32) -> Vec<Operation> {
    let destination = i64::from(random.random_range(0..destinations.max(1)));
    vec![put(destination, random.random_range(0..ENDPOINTS), random.random_range(1024..60_000))]
}

fn put(destination: i64, number: u32, port: u16) -> Operation {
    let endpoint = endpoint(destination, number, port);
    Operation::PutEndpoint { destination: DestinationId(destination), endpoint }
}

/// A change signed by a control machine.
pub fn sign(change: &Change, control: usize) -> SignedChange {
    SignedChange::sign(change, &control_key(control)).expect("within the bounds of a change")
}

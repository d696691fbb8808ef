//! What one relay costs that holds the whole number of destinations: memory, and processor time for each change.

use destinations::{ControlKeys, DestinationSet};
use fleet::SECOND;
use rollout::topology::{Machine, Place, Role, Topology};
use rollout::{Config, Node};
use serde::{Deserialize, Serialize};

use super::author;
use super::cost::{allocated, thread_time_ns};
use crate::random::{Purpose, stream};

/// Control machines whose keys a relay knows. The changes are signed by the last of them, which costs the most to verify:
/// the keys are tried one after the other.
const CONTROLS: usize = 6;

/// The cost of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OneRelay {
    /// Destinations that it holds.
    pub destinations: u32,
    /// Bytes of memory with the set alone; 0 where the process does not count them.
    pub set_bytes: u64,
    /// Bytes of memory with the set, and the log of the changes below.
    pub with_log_bytes: u64,
    /// Changes that were verified, applied and kept.
    pub changes: u32,
    /// Processor time for each of them, in microseconds.
    pub change_us: f64,
    /// Bytes of one encoded signed change, in the mean.
    pub change_bytes: f64,
    /// Canonical bytes of all buckets, which a relay with an empty set has to fetch.
    pub snapshot_bytes: u64,
}

/// Measures a machine that holds so many destinations and takes so many changes. It stands for a relay as a control machine,
/// which takes the same way through verification, set and log without a network.
///
/// # Panics
/// If a change that was made for the set does not fit it.
pub fn measure(destinations: u32, changes: u32, seed: u64) -> OneRelay {
    let (mut set, newest) = author::base(destinations);
    let snapshot_bytes =
        (0..destinations::BUCKETS as u16).filter_map(|index| set.bucket(index)).map(|b| b.len() as u64);
    let snapshot_bytes = snapshot_bytes.sum();
    let mut random = stream(seed, Purpose::Changes);
    let mut signed = Vec::new();
    for _ in 0..changes {
        let change = set.prepare(author::operations(&mut random, destinations)).expect("it fits");
        set.apply(&change).expect("it was prepared for this set");
        signed.push(author::sign(&change, CONTROLS - 1));
    }
    drop(set);
    let change_bytes =
        signed.iter().map(|signed| signed.encoded_len() as f64).sum::<f64>() / signed.len().max(1) as f64;
    let before = allocated();
    let (set, _) = author::base(destinations);
    let mut node = node(set, newest);
    let set_bytes = allocated().saturating_sub(before);
    let start = thread_time_ns();
    for signed in &signed {
        node.publish(SECOND, signed.clone()).expect("in their order");
    }
    let spent = thread_time_ns().saturating_sub(start);
    node.take_applied();
    OneRelay {
        destinations,
        set_bytes,
        with_log_bytes: allocated().saturating_sub(before),
        changes,
        change_us: spent as f64 / 1e3 / f64::from(changes.max(1)),
        change_bytes,
        snapshot_bytes,
    }
}

fn node(set: DestinationSet, newest: destinations::SignedChange) -> Node {
    let machine = Machine { peer: 0, place: Place { region: 0, zone: 0 }, role: Role::Control };
    let topology = Topology::new(&[machine]).expect("one control machine");
    let keys: ControlKeys = author::control_keys(CONTROLS);
    Node::new(Config::new(0, topology.into(), keys, 1), set, Some(newest), 0)
}

//! Frames of channels whose items follow each other in postcard's encoding: packing and reading.
//!
//! Arbitrary input neither panics nor yields more items than a frame holds.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;

use crate::Peer;
use crate::link::OutgoingFrame;

/// Reads the items of a frame, up to the first that cannot be decoded, such as one that a later build added. Also
/// returns whether all of the frame was decoded.
pub fn read<T: DeserializeOwned>(mut frame: &[u8]) -> (Vec<T>, bool) {
    let mut items = Vec::new();
    while !frame.is_empty() {
        let Ok((item, rest)) = postcard::take_from_bytes(frame) else { return (items, false) };
        frame = rest;
        items.push(item);
    }
    (items, true)
}

/// Packs items into frames of at most `room` bytes, in the order of each peer's items.
pub fn pack(items: impl IntoIterator<Item = (Peer, Vec<u8>)>, room: usize) -> Vec<OutgoingFrame> {
    let mut by_peer: BTreeMap<Peer, Vec<Vec<u8>>> = BTreeMap::new();
    for (to, bytes) in items {
        let frames = by_peer.entry(to).or_default();
        match frames.last_mut().filter(|frame| frame.len() + bytes.len() <= room) {
            Some(frame) => frame.extend(bytes),
            None => frames.push(bytes),
        }
    }
    let outgoing =
        |(to, frames): (Peer, Vec<Vec<u8>>)| frames.into_iter().map(move |bytes| OutgoingFrame { to, bytes });
    by_peer.into_iter().flat_map(outgoing).collect()
}

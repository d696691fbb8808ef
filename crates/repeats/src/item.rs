//! Wire format of the retry budget: items in a frame of the peer link. Decoding must not panic on any input.

use overload::waits::{MAX_LEVELS, PriorityWait};
use permits::WaitingByPriority;
use serde::{Deserialize, Serialize};

/// Number of the retry budget's channel on the peer link.
pub const CHANNEL: u8 = 4;
/// Maximum number of priority levels in one request.
pub const MAX_PRIORITY_LEVELS: usize = 8;

/// One item of a frame. Encoded by position: new variants are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// To the coordinator: the retries that wait at the sender. With no waiting retries it asks whether the coordinator is
    /// reachable.
    #[serde(rename = "Want")]
    Request {
        /// The destination.
        destination: i64,
        /// Total of tokens that the sender has received from this incarnation of the coordinator.
        #[serde(rename = "had")]
        received: u32,
        /// Waiting retries by priority.
        #[serde(rename = "tiers")]
        waiting: WaitingByPriority,
    },
    /// Tokens transferred to one incarnation of the receiver.
    #[serde(rename = "Gift")]
    Transfer {
        /// The destination.
        destination: i64,
        /// The incarnation of the receiver that the tokens are for.
        #[serde(rename = "start")]
        incarnation: u32,
        /// Total of tokens transferred by this incarnation of the sender.
        total: u32,
        /// Whether this answers a request. Otherwise the receiver acknowledges it.
        #[serde(rename = "answers")]
        is_reply: bool,
    },
    /// Acknowledges a transfer.
    #[serde(rename = "Had")]
    Received {
        /// The destination.
        destination: i64,
        /// Total of tokens received from this incarnation of the giver.
        total: u32,
    },
    /// From the coordinator: the minimum waiting times of retries, by priority (see the crate overload).
    Waits {
        /// The destination.
        destination: i64,
        /// Priorities, highest first, with the steps that the first and the last retry of each wait.
        levels: Vec<PriorityWait>,
    },
}

impl Item {
    /// Encodes the item.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// Decodes the items of a frame. Returns them, and whether the whole frame was valid.
pub fn decode(frame: &[u8]) -> (Vec<Item>, bool) {
    let (mut items, whole) = fleet::frame::read(frame);
    let decoded = items.len();
    items.retain(|item| match item {
        Item::Request { waiting, .. } => waiting.len() <= MAX_PRIORITY_LEVELS,
        Item::Waits { levels, .. } => levels.len() <= MAX_LEVELS,
        Item::Transfer { .. } | Item::Received { .. } => true,
    });
    let valid = whole && items.len() == decoded;
    (items, valid)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn items_round_trip_and_an_unknown_item_ends_the_frame() {
        let request = Item::Request { destination: -7, received: 9, waiting: vec![(3, 1)] };
        let transfer = Item::Transfer { destination: 1, incarnation: 77, total: 3, is_reply: true };
        let mut frame = [request.encode(), transfer.encode()].concat();
        assert_eq!(decode(&frame), (vec![request.clone(), transfer.clone()], true));
        frame.extend([99, 1]);
        assert_eq!(decode(&frame), (vec![request, transfer], false));
        let long = Item::Request { destination: 0, received: 0, waiting: vec![(1, 1); 9] };
        assert_eq!(decode(&long.encode()), (vec![], false));
    }

    proptest! {
    #[test]
    fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
    prop_assert!(decode(&bytes).0.len() <= bytes.len());
    }
    }
}

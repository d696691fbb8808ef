//! Items that relays and coordinators exchange in frames of the peer link, and their layout. Decoding never panics on malformed
//! input.

use fleet::datagram::Stamp;
use serde::{Deserialize, Serialize};

use crate::WaitingByPriority;

/// Channel id of the limit coordinators on the peer link.
pub const CHANNEL: u8 = 1;
/// Maximum number of priority levels in one request.
pub const MAX_PRIORITY_LEVELS: usize = 8;
/// Exclusive upper bound of a reported limit and of a granted rate, in calls per second.
const MAX_RATE_PER_S: f32 = 1e6;

/// What the result of a call shows of its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// The call succeeded.
    #[serde(rename = "Well")]
    Succeeded,
    /// The call failed: no connection, an error response or a timeout.
    Failed,
    /// The destination refused the call because of its rate limit.
    Refused,
    /// The endpoint refused the connection because it has too many.
    #[serde(rename = "Crowded")]
    OutOfConnections,
}

/// One item of a frame. The variants are numbered by position: new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// To the coordinator: messages wait, beyond the grants that the sender of the item holds.
    #[serde(rename = "Want")]
    Request {
        /// The destination.
        destination: i64,
        /// Total of grants that the sender has received from any coordinator of this destination.
        seen: u16,
        /// The sender lends its share of the limit under this stamp of the receiver; it lends nothing without one.
        stamp: Option<Stamp>,
        /// Number of relays that share the limit, as the sender counts them; 0 if not stated.
        #[serde(rename = "of")]
        relays: u16,
        /// The waiting messages.
        #[serde(rename = "tiers")]
        waiting: WaitingByPriority,
    },
    /// From the coordinator: calls are granted.
    #[serde(rename = "Permit")]
    Grant {
        /// The destination.
        destination: i64,
        /// Total of grants issued to the receiver, these included.
        total: u16,
        /// Whether endpoints of this kind accept few connections.
        #[serde(rename = "few")]
        few_connections: bool,
        /// Age of the latest grant, in steps of 4 ms.
        age: u8,
        /// The stamp of the request that this answers, if any.
        stamp: Option<Stamp>,
        /// Number of relays that share the limit, as the sender counts them; 0 if not stated.
        #[serde(rename = "of")]
        relays: u16,
    },
    /// To the coordinator: result of a call.
    Report {
        /// The destination.
        destination: i64,
        /// Result of the call.
        #[serde(rename = "sign")]
        result: CallResult,
        /// Milliseconds since the call began.
        began: u16,
        /// Server-requested wait in milliseconds; 0 if there is none.
        wait: u16,
        /// Limit reported by the destination, in calls per second; 0 if there is none.
        limit: f32,
        /// Remaining fraction of the allowance as reported by the destination, in units of 1/200; 255 if there is none.
        #[serde(rename = "left")]
        remaining: u8,
    },
    /// From the coordinator of a large limit: the receiver may call at this rate for a while without a grant for each call.
    Rate {
        /// The destination.
        destination: i64,
        /// Granted rate, in calls per second.
        per_s: f32,
        /// The rate is valid from this stamp of the receiver on.
        stamp: Stamp,
        /// Number of relays that share the limit, as the sender counts them.
        #[serde(rename = "of")]
        relays: u16,
    },
    /// From the coordinator: minimum waiting times by priority (see the crate overload). These are the last items of a frame, as
    /// the previous build does not know them.
    #[serde(rename = "Waits")]
    WaitTimes {
        /// The destination.
        destination: i64,
        /// Priorities, highest first, with the waiting times of the first and last message of each, in steps.
        levels: Vec<overload::waits::PriorityWait>,
    },
}

impl Item {
    /// Encodes the item.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// Decodes the items of a frame. Also returns whether the whole frame was valid.
pub fn read(frame: &[u8]) -> (Vec<Item>, bool) {
    let (mut items, whole) = fleet::frame::read(frame);
    let read = items.len();
    items.retain(is_valid);
    let all_valid = whole && items.len() == read;
    (items, all_valid)
}

/// Returns whether the figures of an item are in range. Items out of range are ignored, also from an authenticated relay.
pub(crate) fn is_valid(item: &Item) -> bool {
    match item {
        Item::Request { waiting, .. } => waiting.len() <= MAX_PRIORITY_LEVELS,
        Item::Grant { .. } => true,
        Item::WaitTimes { levels, .. } => levels.len() <= overload::waits::MAX_LEVELS,
        Item::Report { limit, .. } => (0.0..MAX_RATE_PER_S).contains(limit),
        Item::Rate { per_s, .. } => (0.0..MAX_RATE_PER_S).contains(per_s),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn items_survive_encoding_and_an_item_of_a_later_build_ends_the_frame() {
        let request = Item::Request {
            destination: -7,
            seen: 9,
            stamp: Some(Stamp(5)),
            relays: 12,
            waiting: vec![(3, 1)],
        };
        let rate = Item::Rate { destination: 1, per_s: 2.5, stamp: Stamp(77), relays: 12 };
        let mut frame = vec![];
        [&request, &rate].into_iter().for_each(|item| frame.extend(item.encode()));
        assert_eq!(read(&frame), (vec![request.clone(), rate.clone()], true));
        frame.extend([99, 1, 2]);
        assert_eq!(read(&frame), (vec![request, rate], false));
        let mut invalid = vec![];
        invalid.extend(Item::Rate { destination: 1, per_s: f32::NAN, stamp: Stamp(0), relays: 0 }.encode());
        assert_eq!(read(&invalid), (vec![], false));
    }

    proptest! {
    #[test]
    fn decoding_never_panics_nor_yields_more_items_than_bytes(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
    let (items, _) = read(&bytes);
    prop_assert!(items.len() <= bytes.len());
    }
    }
}

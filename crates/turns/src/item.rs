//! Items of the maintenance channel's frames, and their encoding. Arbitrary input never panics.

use serde::{Deserialize, Serialize};

use crate::requests::DrainRequest;
use crate::{FencingToken, Peer, VoterTime};

/// Number of the maintenance channel on the peer link.
pub const CHANNEL: u8 = 3;
/// Maximum number of drain requests in one item.
pub const MAX_REQUESTS_PER_ITEM: usize = 4;
/// Maximum number of outstanding votes in one item.
pub const MAX_VOTES_PER_ITEM: usize = 16;

/// State of a relay, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RelayState {
    /// It serves, and has given up all votes for it.
    #[serde(rename = "Serves")]
    Serving,
    /// It does not serve, because it starts or was put in standby by operators, and has given up all votes for it.
    Away,
    /// It requests this slot.
    #[serde(rename = "Asks")]
    RequestingSlot(u8),
    /// It is in maintenance, in this slot.
    #[serde(rename = "Out")]
    InMaintenance(u8),
}

/// Why a voter refuses a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The voter has just started.
    JustStarted,
    /// The voter does not know the state of this relay yet.
    Unknown(Peer),
    /// This relay holds the slot.
    #[serde(rename = "Seat")]
    SlotTaken(Peer),
    /// This relay of the same zone is in maintenance or unreachable.
    #[serde(rename = "Zone")]
    ZoneTaken(Peer),
    /// As many relays as may be are in maintenance or unreachable; this is one of them.
    TooMany(Peer),
    /// This relay has an older request that could be granted.
    #[serde(rename = "Behind")]
    OlderRequestFirst(Peer),
    /// Operators have paused maintenance.
    Paused,
    /// This relay reports that the fleet is under strain: no maintenance begins.
    Strained(Peer),
}

/// An item of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Item {
    /// Asks for the recipient's state.
    Ping {
        /// When it was sent, by the sender's clock.
        #[serde(rename = "mark")]
        time: VoterTime,
        /// Some drain requests.
        #[serde(rename = "wishes")]
        requests: Vec<DrainRequest>,
    },
    /// Answers a ping.
    Pong {
        /// The time in the ping.
        #[serde(rename = "mark")]
        time: VoterTime,
        /// The sender's state.
        state: RelayState,
        /// The sender's outstanding votes, with their slots: relays it voted for that have not reported since that they
        /// serve. `None` while a restarted sender may not know all of its votes.
        held: Option<Vec<(Peer, u8)>>,
        /// Some drain requests.
        #[serde(rename = "wishes")]
        requests: Vec<DrainRequest>,
    },
    /// Asks a voter for a maintenance slot.
    #[serde(rename = "Ask")]
    RequestSlot {
        /// The fencing token of the slot.
        #[serde(rename = "fence")]
        token: FencingToken,
        /// The slot's index.
        #[serde(rename = "seat")]
        slot: u8,
    },
    /// Grants a slot, as far as the sender is concerned.
    Vote(FencingToken),
    /// Refuses a slot.
    #[serde(rename = "No")]
    Refuse(FencingToken, RefusalReason),
    /// Reports that a destination is overloaded or down: no maintenance is to begin.
    Strained,
}

impl Item {
    /// Returns the encoded item.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fleet::frame::read;
    use proptest::prelude::*;

    #[test]
    fn encoded_items_are_decoded_up_to_the_first_item_of_a_later_build() {
        let token = FencingToken { incarnation: 7, round: 2 };
        let pong = Item::Pong {
            time: VoterTime { incarnation: 7, ms: 9 },
            state: RelayState::InMaintenance(1),
            held: Some(vec![(3, 0)]),
            requests: vec![],
        };
        let items = vec![
            pong,
            Item::RequestSlot { token, slot: 1 },
            Item::Refuse(token, RefusalReason::ZoneTaken(4)),
        ];
        let mut frame = vec![];
        items.iter().for_each(|item| frame.extend(item.encode()));
        assert_eq!(read(&frame), (items.clone(), true));
        frame.push(99);
        assert_eq!(read(&frame), (items, false));
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_do_not_panic_and_decode_to_no_more_items_than_bytes(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
            let (items, _) = read::<Item>(&bytes);
            prop_assert!(items.len() <= bytes.len());
        }
    }
}

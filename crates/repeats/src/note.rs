//! What relays tell each other of repeats, as items in a frame of the link. Owns their layout. It must never panic on
//! whatever comes.

use overload::waits::{Level, MOST_LEVELS};
use permits::WaitingByPriority;
use serde::{Deserialize, Serialize};

/// The channel of repeats.
pub const CHANNEL: u8 = 4;
/// Tiers of one want at the most.
pub const MOST_TIERS: usize = 8;

/// One thing that is told. New ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// To the keeper: these repeats wait here, and so many credits I have had of this start of yours. With no tiers it asks
    /// whether the keeper is there.
    Want {
        /// The destination.
        destination: i64,
        /// Credits had.
        had: u32,
        /// What waits.
        tiers: WaitingByPriority,
    },
    /// So many credits in all I have given to this start of you.
    Gift {
        /// The destination.
        destination: i64,
        /// The start of the receiver that it is for.
        start: u32,
        /// In all, from this start of mine on.
        total: u32,
        /// It answers a want; else it is to be answered.
        answers: bool,
    },
    /// So many credits in all I have had of this start of yours.
    Had {
        /// The destination.
        destination: i64,
        /// In all.
        total: u32,
    },
    /// From the keeper: so long repeats wait there at the least, by worth (see the crate overload).
    Waits {
        /// The destination.
        destination: i64,
        /// Worths, the highest first, and steps that the first and the last of each wait.
        levels: Vec<Level>,
    },
}

impl Item {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// The items of a frame; whether all of it made sense.
pub fn read(frame: &[u8]) -> (Vec<Item>, bool) {
    let (mut items, whole) = fleet::frame::read(frame);
    let read = items.len();
    items.retain(|item| match item {
        Item::Want { tiers, .. } => tiers.len() <= MOST_TIERS,
        Item::Waits { levels, .. } => levels.len() <= MOST_LEVELS,
        Item::Gift { .. } | Item::Had { .. } => true,
    });
    let made_sense = whole && items.len() == read;
    (items, made_sense)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_written_is_read_and_what_a_later_build_adds_ends_the_frame() {
        let want = Item::Want { destination: -7, had: 9, tiers: vec![(3, 1)] };
        let gift = Item::Gift { destination: 1, start: 77, total: 3, answers: true };
        let mut frame = [want.encode(), gift.encode()].concat();
        assert_eq!(read(&frame), (vec![want.clone(), gift.clone()], true));
        frame.extend([99, 1]);
        assert_eq!(read(&frame), (vec![want, gift], false));
        let long = Item::Want { destination: 0, had: 0, tiers: vec![(1, 1); 9] };
        assert_eq!(read(&long.encode()), (vec![], false));
    }

    proptest! {
        #[test]
        fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
            prop_assert!(read(&bytes).0.len() <= bytes.len());
        }
    }
}

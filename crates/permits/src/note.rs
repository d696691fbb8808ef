//! What relays tell stewards and stewards tell relays, as items in a frame of the link. Owns their layout. It must never
//! panic on whatever comes.

use fleet::datagram::Stamp;
use serde::{Deserialize, Serialize};

use crate::Tiers;

/// The channel of permits.
pub const CHANNEL: u8 = 1;
/// Tiers of one want at the most.
pub const MOST_TIERS: usize = 8;
/// A limit or rate that is told lies under this.
const MOST_RATE: f32 = 1e6;

/// What a call showed of its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sign {
    /// It was answered well.
    Well,
    /// It failed: no connection, an error, silence.
    Failed,
    /// It was refused as full.
    Refused,
    /// It was refused for want of connections.
    Crowded,
}

/// One thing that is told. New ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// To the steward: this waits, beyond the permits that I hold.
    Want {
        /// The destination.
        destination: i64,
        /// Permits that I have had from any steward of it so far.
        seen: u16,
        /// My part of the budget is lent to you, by this stamp of yours; not where there is none.
        stamp: Option<Stamp>,
        /// So many relays share it, as I count them; 0 where that is not said.
        of: u16,
        /// What waits.
        tiers: Tiers,
    },
    /// From the steward.
    Permit {
        /// The destination.
        destination: i64,
        /// Permits that you have had so far, these included.
        total: u16,
        /// Endpoints of its kind take few connections.
        few: bool,
        /// The latest of them is so old, in steps of 4 ms.
        age: u8,
        /// Where this answers a want, the stamp of that.
        stamp: Option<Stamp>,
        /// So many relays share it, as far as I know; 0 where that is not said.
        of: u16,
    },
    /// To the steward: how a call ended.
    Report {
        /// The destination.
        destination: i64,
        /// What it showed.
        sign: Sign,
        /// Milliseconds since it began.
        began: u16,
        /// Milliseconds of the wait that it told, 0 where it told none.
        wait: u16,
        /// The limit that it reported, in calls a second, 0 where it reported none.
        limit: f32,
        /// The share of the allowance that it reported as left, in parts of 200; 255 where it reported none.
        left: u8,
    },
    /// From the steward of a large limit: you may call at this rate for a while, with no permit for each call.
    Rate {
        /// The destination.
        destination: i64,
        /// Calls a second.
        per_s: f32,
        /// It holds from this stamp of yours on.
        stamp: Stamp,
        /// So many relays share it, as far as I know.
        of: u16,
    },
    /// From the steward: so long what waits for it waits at the least, by worth (see the crate overload). The last item
    /// of a frame, as the build before does not know it.
    Waits {
        /// The destination.
        destination: i64,
        /// Worths, the highest first, and steps that the first and the last of each wait.
        levels: Vec<overload::waits::PriorityWait>,
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
    items.retain(sound);
    let made_sense = whole && items.len() == read;
    (items, made_sense)
}

/// A figure that makes no sense says nothing, whoever signed it.
pub(crate) fn sound(item: &Item) -> bool {
    match item {
        Item::Want { tiers, .. } => tiers.len() <= MOST_TIERS,
        Item::Permit { .. } => true,
        Item::Waits { levels, .. } => levels.len() <= overload::waits::MAX_LEVELS,
        Item::Report { limit, .. } => (0.0..MOST_RATE).contains(limit),
        Item::Rate { per_s, .. } => (0.0..MOST_RATE).contains(per_s),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_written_is_read_and_what_a_later_build_adds_ends_the_frame() {
        let want =
            Item::Want { destination: -7, seen: 9, stamp: Some(Stamp(5)), of: 12, tiers: vec![(3, 1)] };
        let rate = Item::Rate { destination: 1, per_s: 2.5, stamp: Stamp(77), of: 12 };
        let mut frame = vec![];
        [&want, &rate].into_iter().for_each(|item| frame.extend(item.encode()));
        assert_eq!(read(&frame), (vec![want.clone(), rate.clone()], true));
        frame.extend([99, 1, 2]);
        assert_eq!(read(&frame), (vec![want, rate], false));
        let mut wrong = vec![];
        wrong.extend(Item::Rate { destination: 1, per_s: f32::NAN, stamp: Stamp(0), of: 0 }.encode());
        assert_eq!(read(&wrong), (vec![], false));
    }

    proptest! {
        #[test]
        fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
            let (items, _) = read(&bytes);
            prop_assert!(items.len() <= bytes.len());
        }
    }
}

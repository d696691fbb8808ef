//! What relays tell each other of turns, as words in a frame of the link. Owns their layout. It must never panic on
//! whatever comes.

use serde::{Deserialize, Serialize};

use crate::wishes::Wish;
use crate::{Fence, Mark, Peer};

/// The channel of turns.
pub const CHANNEL: u8 = 3;
/// Wishes in one word at the most.
pub const MOST_WISHES: usize = 4;
/// Votes that are told in one word at the most.
pub const MOST_HELD: usize = 16;

/// What a relay is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It serves, and has no votes.
    Serves,
    /// It does not serve: it starts, or operators emptied it by hand. It has no votes.
    Away,
    /// It asks for this seat.
    Asks(u8),
    /// It is out, in this seat.
    Out(u8),
}

/// Why a vote is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Why {
    /// The voter has just started.
    JustStarted,
    /// The voter knows nothing yet of this relay.
    Unknown(Peer),
    /// This relay has the seat.
    Seat(Peer),
    /// This relay is of the same zone, and out or not heard.
    Zone(Peer),
    /// So many are out or not heard; this is one of them.
    TooMany(Peer),
    /// This relay's wish is older, and it can be met.
    Behind(Peer),
    /// Operators hold all turns.
    Paused,
    /// This relay says that the fleet is under strain: no turn begins now.
    Strained(Peer),
}

/// One thing that is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// What are you at? Asked at this mark.
    Ping {
        /// The asker's mark.
        mark: Mark,
        /// Some wishes.
        wishes: Vec<Wish>,
    },
    /// The answer.
    Pong {
        /// The mark that is answered.
        mark: Mark,
        /// What it is at.
        state: State,
        /// For whom it voted and has not heard serve since, and in which seat; not where it does not know yet itself.
        held: Option<Vec<(Peer, u8)>>,
        /// Some wishes.
        wishes: Vec<Wish>,
    },
    /// May I go out, in this seat?
    Ask {
        /// The turn.
        fence: Fence,
        /// The seat.
        seat: u8,
    },
    /// You may, as far as I am concerned.
    Vote(Fence),
    /// You may not.
    No(Fence, Why),
    /// A partner takes all that the fleet has, or nothing: no turn is to begin now.
    Strained,
}

impl Word {
    /// Its bytes.
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
    fn what_is_written_is_read_and_what_a_later_build_adds_ends_the_frame() {
        let fence = Fence { incarnation: 7, round: 2 };
        let pong = Word::Pong {
            mark: Mark { incarnation: 7, ms: 9 },
            state: State::Out(1),
            held: Some(vec![(3, 0)]),
            wishes: vec![],
        };
        let words = vec![pong, Word::Ask { fence, seat: 1 }, Word::No(fence, Why::Zone(4))];
        let mut frame = vec![];
        words.iter().for_each(|word| frame.extend(word.encode()));
        assert_eq!(read(&frame), (words.clone(), true));
        frame.push(99);
        assert_eq!(read(&frame), (words, false));
    }

    proptest! {
        #[test]
        fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
            let (words, _) = read::<Word>(&bytes);
            prop_assert!(words.len() <= bytes.len());
        }
    }
}

//! How a fleet shares the limit of a destination. For each destination one relay is the steward, found by
//! rendezvous hashing; whoever has messages for it asks the steward, who permits calls at the destination's rate,
//! the worthiest first. A relay that hears no steward goes by its own pace.
//!
//! Where each relay owns a part of the limit (see the crate escrow), a steward permits what the parts lent to it add up
//! to, and who hears no steward goes by its own part; else the steward that is heard permits the whole.
//!
//! A channel of the link (see the crate fleet), without I/O: frames, wants, reports and the time go in; frames and permits
//! come out. It must never permit while a destination's own wait lasts, nor make a relay wait for a steward that is not
//! there.

#![forbid(unsafe_code)]

pub mod earlier;
pub mod held;
mod limit;
pub mod node;
pub mod note;
pub mod steward;

pub use fleet::{Micros, Peer, SECOND};

/// How relays share a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Whoever is steward permits the whole. Two that do not hear each other permit it twice.
    #[default]
    Whole,
    /// Each relay owns a part, and lends it to the steward that it hears.
    Parts,
}

/// Messages that wait for a permit: so many of each worth (in thousandths), the worthiest first.
pub type Tiers = Vec<(u16, u8)>;

/// How many messages wait, of all worths.
pub fn waiting(tiers: &Tiers) -> u32 {
    tiers.iter().map(|(_, count)| u32::from(*count)).sum()
}

/// The tier of a worth in thousandths: the last is for all that is worth more.
pub fn tier(worth: u64) -> u16 {
    u16::try_from(worth).unwrap_or(u16::MAX)
}

/// The tiers of messages whose worths come in order, the worthiest first.
pub fn tiers(worths: impl Iterator<Item = u64>) -> Tiers {
    let mut tiers = Tiers::new();
    for worth in worths {
        let worth = tier(worth);
        match tiers.last_mut().filter(|(last, count)| *last == worth && *count < u8::MAX) {
            Some((_, count)) => *count += 1,
            None => tiers.push((worth, 1)),
        }
    }
    tiers
}

/// Takes one from the worthiest tier.
pub fn take(tiers: &mut Tiers) {
    if let Some((_, count)) = tiers.first_mut() {
        *count = count.saturating_sub(1);
        if *count == 0 {
            tiers.remove(0);
        }
    }
}

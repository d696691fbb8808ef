//! The one link between relays: one socket's notes of at most 256 bytes, which may be lost, doubled, late or forged.
//!
//! [`keys`] signs, [`note`] is the wire, [`members`] knows who is there, [`lateness`] how old a note is, and [`link`]
//! puts them together with one budget of bytes. What relays tell each other goes by [`link::Channel`]s, each with its
//! own codec, limits and place in the order; what a build does not know, it skips. State machines without I/O: datagrams
//! and the time go in, datagrams come out.
//!
//! Dependencies point one way: `keys` ← `note` ← `members`, `lateness` ← `link` ← [`frame`].
#![forbid(unsafe_code)]

pub mod frame;
pub mod keys;
pub mod lateness;
pub mod link;
pub mod members;
pub mod note;

/// A time of this relay's clock, or a span of it, in microseconds.
pub type Micros = i64;
/// A relay, by its number in the list that all have.
pub type Peer = u16;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Starts are counted in tenths of seconds from the start of 2025.
const EPOCH: Micros = 1_735_689_600 * SECOND;

/// The number of a start at that Unix time: it grows from one start to the next.
pub fn incarnation(now: Micros) -> u32 {
    u32::try_from((now - EPOCH) / (SECOND / 10)).unwrap_or(0)
}

/// Of so many relays the one that does what one has to do for all at a destination: the nearest, the avoided ones last.
pub fn nearest(destination: i64, relays: Peer, avoided: impl Fn(Peer) -> bool) -> Option<Peer> {
    (0..relays).max_by_key(|peer| (!avoided(*peer), rendezvous(destination, *peer)))
}

/// How near a relay stands to a destination.
pub fn rendezvous(destination: i64, peer: Peer) -> u64 {
    let mixed = (destination as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (u64::from(peer) << 20);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

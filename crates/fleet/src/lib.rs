//! The transport between relays: datagrams of at most 256 bytes on one socket, which may be lost, duplicated, delayed or
//! forged.
//!
//! [`keys`] authenticates datagrams, [`datagram`] is the wire format, [`members`] the membership, [`updates`] its
//! dissemination, [`delay`] the estimate of delays, and [`link`] combines them under one byte budget. Relays exchange items on
//! [`link::Channel`]s, each with its own codec, limits and priority; a build skips channels that it does not know. These are
//! state machines without I/O: datagrams and the time go in, datagrams come out.
//!
//! Dependencies point one way: `keys` ← `datagram` ← `updates` ← `members`, `delay` ← `link` ← [`frame`].
#![forbid(unsafe_code)]

pub mod datagram;
pub mod delay;
pub mod frame;
pub mod keys;
pub mod link;
pub mod members;
pub mod updates;

/// A time by this relay's clock, or a duration, in microseconds.
pub type Micros = i64;
/// A relay, by its number in the list that all relays share.
pub type Peer = u16;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Time from which incarnations count tenths of seconds: the start of 2025.
const EPOCH: Micros = 1_735_689_600 * SECOND;

/// The incarnation of a start at this Unix time in microseconds. It grows from one start to the next.
pub fn incarnation(now: Micros) -> u32 {
    u32::try_from((now - EPOCH) / (SECOND / 10)).unwrap_or(0)
}

/// The relay, of `relays`, that is responsible for a destination: the one of the highest rendezvous weight, avoided ones
/// last. `None` if there are no relays.
pub fn nearest(destination: i64, relays: Peer, avoided: impl Fn(Peer) -> bool) -> Option<Peer> {
    (0..relays).max_by_key(|peer| (!avoided(*peer), rendezvous(destination, *peer)))
}

/// Weight of a relay for a destination in rendezvous hashing; the highest is the nearest.
pub fn rendezvous(destination: i64, peer: Peer) -> u64 {
    let mixed = (destination as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (u64::from(peer) << 20);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

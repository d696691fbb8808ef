//! Draws that differ between senders. Owns how a seed becomes a number; it decides nothing, and holds no state, so
//! that the same events give the same actions.

use crate::interface::Micros;

/// Multiplier of Fibonacci hashing, and one that mixes further (both from splitmix64's finaliser family).
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
const MIX: u64 = 0xD6E8_FEB8_6659_FD93;

/// A number in `0.0..1.0` from a salt.
pub fn unit(salt: u64) -> f64 {
    let mut mixed = (salt ^ (salt >> 29)).wrapping_mul(GOLDEN);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(MIX);
    (mixed >> 40) as f64 / (1u64 << 24) as f64
}

/// From minus to plus half the others' part of all senders: a lone sender need not spread.
pub fn jitter(senders: u32, salt: u64) -> f64 {
    (unit(salt) - 0.5) * (1.0 - 1.0 / f64::from(senders.max(1)))
}

/// An order of things that differs between salts.
pub fn scatter(salt: u64, thing: u32) -> u64 {
    let mixed = (salt ^ (u64::from(thing) << 32)).wrapping_mul(GOLDEN);
    (mixed ^ (mixed >> 32)).wrapping_mul(MIX)
}

/// A span stretched by a jitter, which is a part of it.
pub fn stretched(span: Micros, jitter: f64) -> Micros {
    ((1.0 + jitter) * span as f64) as Micros
}

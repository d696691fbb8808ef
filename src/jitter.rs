//! Pseudo-random values derived from a seed by hashing, which differ between senders. Stateless, so that the
//! same events give the same actions.

use crate::interface::Micros;

/// Multiplier of Fibonacci hashing, and a second mixing multiplier (both from splitmix64's finalizer family).
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
const MIX: u64 = 0xD6E8_FEB8_6659_FD93;

/// Returns a number in `0.0..1.0`, uniformly distributed over salts.
pub fn uniform(salt: u64) -> f64 {
    let mut mixed = (salt ^ (salt >> 29)).wrapping_mul(GOLDEN);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(MIX);
    (mixed >> 40) as f64 / (1u64 << 24) as f64
}

/// Returns a jitter, uniform between minus and plus half the other senders' fraction of all senders: 0 for a
/// single sender, which has nobody to spread from, and up to 0.5 either way for many.
pub fn jitter_fraction(senders: u32, salt: u64) -> f64 {
    (uniform(salt) - 0.5) * (1.0 - 1.0 / f64::from(senders.max(1)))
}

/// Returns a sort key that puts items into a different order for each salt.
pub fn shuffle_key(salt: u64, item: u32) -> u64 {
    let mixed = (salt ^ (u64::from(item) << 32)).wrapping_mul(GOLDEN);
    (mixed ^ (mixed >> 32)).wrapping_mul(MIX)
}

/// Returns a duration lengthened by `jitter`, a fraction of it, or shortened if that is negative.
pub fn with_jitter(duration: Micros, jitter: f64) -> Micros {
    ((1.0 + jitter) * duration as f64) as Micros
}

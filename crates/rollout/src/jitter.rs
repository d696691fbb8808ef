//! Reproducible randomness for timers, so that the relays of a zone which start together do not stay in step.

use fleet::Micros;

/// A generator of jitter (SplitMix64); the same seed yields the same sequence.
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    /// A generator from a seed.
    pub fn new(seed: u64) -> Self {
        Jitter(seed)
    }

    /// A span within a tenth of the given one to either side, in microseconds.
    pub fn around(&mut self, span: Micros) -> Micros {
        let width = (span / 5).max(1).unsigned_abs();
        span - span / 10 + (self.next() % width) as Micros
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

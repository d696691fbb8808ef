//! The bytes a second that a machine may spend on serving those who lag behind.

use fleet::{Micros, SECOND};

/// Bytes that may be saved up, in seconds of the rate.
const SAVED_S: f64 = 0.5;

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    tokens: f64,
    at: Micros,
}

impl Budget {
    /// A full bucket that fills with so many bytes a second.
    pub fn new(bytes_per_s: u32, now: Micros) -> Self {
        let bytes_per_s = f64::from(bytes_per_s.max(1));
        Budget { bytes_per_s, tokens: bytes_per_s * SAVED_S, at: now }
    }

    /// Takes so many bytes, if anything is left. A send may overdraw the bucket once; what comes later waits for it.
    pub fn take(&mut self, now: Micros, bytes: usize) -> bool {
        self.fill(now);
        let allowed = self.tokens > 0.0;
        if allowed {
            self.tokens -= bytes as f64;
        }
        allowed
    }

    /// When [`Budget::take`] succeeds next.
    pub fn next_at(&self) -> Micros {
        let wait = (1.0 - self.tokens).max(0.0) / self.bytes_per_s;
        self.at + (wait * SECOND as f64).ceil() as Micros
    }

    fn fill(&mut self, now: Micros) {
        let passed = (now - self.at).max(0) as f64 / SECOND as f64;
        self.tokens = (self.tokens + passed * self.bytes_per_s).min(self.bytes_per_s * SAVED_S);
        self.at = self.at.max(now);
    }
}

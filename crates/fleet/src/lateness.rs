//! How old a note is when it comes: what it took beyond the least that a note of its sender took lately. Owns that
//! estimate. Clocks may be off, but not by more than some; one that jumps is made out within two spans.

use crate::note::Stamp;
use crate::{Micros, SECOND};

/// Clocks may be off by so much; what took longer than that at the least is late.
const CLOCKS: Micros = 3 * SECOND / 2;
/// The least is that of the present span and the one before.
const SPAN: Micros = 5 * SECOND;
/// A stamp that seems older than this is of a clock that is ahead.
const AHEAD: Micros = AROUND / 2;
const AROUND: Micros = (1 << 32) * 1000;

/// What is known of one sender's notes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    span: Micros,
    least: Option<Micros>,
    before: Option<Micros>,
}

impl Lateness {
    /// A note comes that was sent at that stamp; how late it is.
    pub fn came(&mut self, now: Micros, sent: Stamp) -> Micros {
        let age = sent.age(now);
        let took = if age > AHEAD { age - AROUND } else { age };
        let span = now.div_euclid(SPAN);
        if span != self.span {
            self.before = if span == self.span + 1 { self.least } else { None };
            (self.span, self.least) = (span, None);
        }
        self.least = Some(self.least.map_or(took, |least| least.min(took)));
        let least = self.least.into_iter().chain(self.before).min().unwrap_or(took);
        (took - least.clamp(-CLOCKS, CLOCKS)).max(0)
    }
}

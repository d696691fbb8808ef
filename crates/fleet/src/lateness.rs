//! Estimate of a datagram's delay: its transit time beyond the minimum among its sender's recent datagrams.
//!
//! Clocks may differ, within a limit. After a clock has jumped, the estimate recovers within two windows.

use crate::note::Stamp;
use crate::{Micros, SECOND};

/// Maximum assumed difference between clocks, in microseconds. A minimum transit time beyond it counts as delay.
const CLOCKS: Micros = 3 * SECOND / 2;
/// Length of a window, in microseconds. The minimum is taken over the present window and the one before.
const SPAN: Micros = 5 * SECOND;
/// A stamp that seems older than this comes from a clock that is ahead, in microseconds.
const AHEAD: Micros = AROUND / 2;
/// Period after which stamps repeat, in microseconds.
const AROUND: Micros = (1 << 32) * 1000;

/// The transit times of one sender's datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    span: Micros,
    least: Option<Micros>,
    before: Option<Micros>,
}

impl Lateness {
    /// A datagram with this stamp has arrived. Returns its estimated delay, in microseconds.
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

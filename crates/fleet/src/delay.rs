//! Estimate of a datagram's delay: its transit time beyond the minimum among its sender's recent datagrams.
//!
//! Clocks may differ, within a limit. After a clock has jumped, the estimate recovers within two windows.

use crate::datagram::Stamp;
use crate::{Micros, SECOND};

/// Maximum assumed difference between clocks, in microseconds. A minimum transit time beyond it counts as delay.
const MAX_CLOCK_DIFFERENCE: Micros = 3 * SECOND / 2;
/// Length of a window, in microseconds. The minimum is taken over the present window and the one before.
const WINDOW: Micros = 5 * SECOND;
/// A stamp that seems older than this comes from a clock that is ahead, in microseconds.
const MAX_AGE: Micros = STAMP_PERIOD / 2;
/// Period after which stamps repeat, in microseconds.
const STAMP_PERIOD: Micros = (1 << 32) * 1000;

/// The transit times of one sender's datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimator {
    window: Micros,
    minimum: Option<Micros>,
    previous_minimum: Option<Micros>,
}

impl DelayEstimator {
    /// A datagram with this stamp has arrived. Returns its estimated delay, in microseconds.
    pub fn observe(&mut self, now: Micros, sent: Stamp) -> Micros {
        let age = sent.age(now);
        let transit = if age > MAX_AGE { age - STAMP_PERIOD } else { age };
        let window = now.div_euclid(WINDOW);
        if window != self.window {
            self.previous_minimum = if window == self.window + 1 { self.minimum } else { None };
            (self.window, self.minimum) = (window, None);
        }
        self.minimum = Some(self.minimum.map_or(transit, |minimum| minimum.min(transit)));
        let minimum = self.minimum.into_iter().chain(self.previous_minimum).min().unwrap_or(transit);
        (transit - minimum.clamp(-MAX_CLOCK_DIFFERENCE, MAX_CLOCK_DIFFERENCE)).max(0)
    }
}

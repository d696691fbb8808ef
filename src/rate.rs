//! A limit on how often something may happen.

use crate::interface::Micros;

/// Length of a window, in microseconds.
const WINDOW: Micros = 1_000_000;

/// A limit on events in successive windows of a second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: u32,
    /// Start of the current window, in microseconds.
    since: Micros,
    /// Number of events in it that were allowed.
    allowed: u32,
    /// Number of events that were rejected since the last allowed one.
    rejected: u64,
}

impl RateLimit {
    /// Creates a limit of `per_second` events in each window.
    pub fn new(per_second: u32) -> Self {
        RateLimit { per_second, since: Micros::MIN, allowed: 0, rejected: 0 }
    }

    /// Whether an event at `now`, in microseconds, is allowed. Returns how many were rejected since the last allowed one, or `None`
    /// if this one is rejected.
    pub fn allow(&mut self, now: Micros) -> Option<u64> {
        if now >= self.since.saturating_add(WINDOW) {
            (self.since, self.allowed) = (now, 0);
        }
        if self.allowed >= self.per_second {
            self.rejected += 1;
            return None;
        }
        self.allowed += 1;
        Some(std::mem::take(&mut self.rejected))
    }
}

//! What cores cost: processor time of the calls into them.

use std::cell::Cell;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Processor time that this thread has used, in nanoseconds; 0 where the system does not tell.
fn thread_time_ns() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    read.map_or(0, |time| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX))
}

/// Processor time of calls into the cores.
#[derive(Debug, Default)]
pub(super) struct Meter {
    /// All calls, in nanoseconds.
    total: Cell<u64>,
}

impl Meter {
    /// Makes a call into the cores, and counts the time that it takes.
    pub(super) fn call<T>(&self, call: impl FnOnce() -> T) -> T {
        let start = thread_time_ns();
        let result = call();
        self.total.set(self.total.get() + thread_time_ns().saturating_sub(start));
        result
    }

    /// All calls, in nanoseconds.
    pub(super) fn total_ns(&self) -> u64 {
        self.total.get()
    }

    /// Forgets what was counted, as at the end of the warm-up.
    pub(super) fn reset(&self) {
        self.total.set(0);
    }
}

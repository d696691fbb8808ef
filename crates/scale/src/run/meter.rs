//! What cores cost in processor time: the calls into them, by core. Owns the clock of the thread.

use std::cell::Cell;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use super::core::{CORES, Core};

/// Reads of the clock by which its own cost is found.
const READS: u64 = 1000;

/// Processor time that this thread has used, in nanoseconds; 0 where the system does not tell.
fn thread_time_ns() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    read.map_or(0, |time| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX))
}

/// Processor time of calls into the cores, without that of reading the clock.
#[derive(Debug)]
pub(super) struct Meter {
    /// What one read of the clock costs, in nanoseconds.
    read: u64,
    /// All calls, in nanoseconds.
    total: Cell<u64>,
    /// Reads of the clock within the call that goes on, in nanoseconds.
    within: Cell<u64>,
    /// The part of each core, in nanoseconds; that of the link is what remains.
    by_core: [Cell<u64>; CORES],
}

impl Meter {
    pub(super) fn new() -> Self {
        let start = thread_time_ns();
        let end = (0..READS).fold(start, |_, _| thread_time_ns());
        Meter {
            read: end.saturating_sub(start) / READS,
            total: Cell::default(),
            within: Cell::default(),
            by_core: Default::default(),
        }
    }

    /// Makes a call into the cores, and counts the time that it takes.
    pub(super) fn call<T>(&self, call: impl FnOnce() -> T) -> T {
        self.within.set(0);
        let start = thread_time_ns();
        let result = call();
        let spent = thread_time_ns().saturating_sub(start);
        self.total.set(self.total.get() + spent.saturating_sub(self.read + self.within.get()));
        result
    }

    /// Makes a call into one core, within [`Meter::call`].
    pub(super) fn within<T>(&self, core: Core, call: impl FnOnce() -> T) -> T {
        let start = thread_time_ns();
        let result = call();
        let spent = thread_time_ns().saturating_sub(start).saturating_sub(self.read);
        if let Some(of_core) = self.by_core.get(core.slot()) {
            of_core.set(of_core.get() + spent);
        }
        self.within.set(self.within.get() + 2 * self.read);
        result
    }

    /// All calls, in nanoseconds.
    pub(super) fn total_ns(&self) -> u64 {
        self.total.get()
    }

    /// The calls into a core but the link, in nanoseconds.
    pub(super) fn core_ns(&self, core: Core) -> u64 {
        self.by_core.get(core.slot()).map_or(0, Cell::get)
    }

    /// Forgets what was counted, as at the end of the warm-up.
    pub(super) fn reset(&self) {
        self.total.set(0);
        self.by_core.iter().for_each(|spent| spent.set(0));
    }
}

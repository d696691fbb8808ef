//! What machines cost: bytes and messages exactly, processor time by samples.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::measurement::{Role, RoleCost};
use crate::time::{Micros, SECOND};

/// Processor time is read for one call in so many: a read costs as much as a call.
const SAMPLE: u64 = 16;

/// What one machine sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) received: u64,
    /// The most bytes that were sent in one second, and in one minute.
    pub(super) second: Busiest<SECOND>,
    pub(super) minute: Busiest<{ 60 * SECOND }>,
}

/// The most bytes that were sent in one of the spans of this length that follow each other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Busiest<const SPAN: Micros> {
    pub(super) most: u64,
    span: Micros,
    bytes: u64,
}

impl<const SPAN: Micros> Busiest<SPAN> {
    fn add(&mut self, now: Micros, bytes: u64) {
        let span = now / SPAN;
        if span != self.span {
            (self.span, self.bytes) = (span, 0);
        }
        self.bytes += bytes;
        self.most = self.most.max(self.bytes);
    }
}

impl Traffic {
    pub(super) fn sent(&mut self, now: Micros, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
        self.second.add(now, bytes as u64);
        self.minute.add(now, bytes as u64);
    }
}

/// Processor time of calls, by samples.
#[derive(Debug)]
pub(super) struct Meter {
    calls: u64,
    sampled_ns: u64,
    read_ns: u64,
}

impl Meter {
    pub(super) fn new() -> Self {
        const READS: u64 = 1000;
        let start = thread_time_ns();
        let end = (0..READS).fold(start, |_, _| thread_time_ns());
        Meter { calls: 0, sampled_ns: 0, read_ns: end.saturating_sub(start) / READS }
    }

    /// Makes a call, and counts the time of one in [`SAMPLE`].
    pub(super) fn call<T>(&mut self, call: impl FnOnce() -> T) -> T {
        self.calls += 1;
        if !self.calls.is_multiple_of(SAMPLE) {
            return call();
        }
        let start = thread_time_ns();
        let result = call();
        self.sampled_ns += thread_time_ns().saturating_sub(start + self.read_ns);
        result
    }

    /// Processor time of all calls, in seconds, as estimated from the samples.
    pub(super) fn seconds(&self) -> f64 {
        (self.sampled_ns * SAMPLE) as f64 / 1e9
    }

    /// Forgets what was counted.
    pub(super) fn reset(&mut self) {
        (self.calls, self.sampled_ns) = (0, 0);
    }
}

/// Processor time that this thread has used, in nanoseconds; 0 where the system does not tell.
pub(super) fn thread_time_ns() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    read.map_or(0, |time| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX))
}

/// Bytes that are allocated now; 0 where the process does not count them (see the binary's allocator).
pub(super) fn allocated() -> u64 {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// The cost of machines of one role over a span of simulated seconds.
pub(super) fn role_cost(
    role: Role, traffic: &[Traffic], meter: &Meter, memory: u64, simulated_s: f64,
) -> RoleCost {
    let each = traffic.len().max(1) as f64;
    let rate = |count: f64| if simulated_s > 0.0 { count / simulated_s } else { 0.0 };
    let messages: u64 = traffic.iter().map(|traffic| traffic.messages).sum();
    let bytes: u64 = traffic.iter().map(|traffic| traffic.bytes).sum();
    let busiest = traffic.iter().map(|traffic| traffic.bytes).max().unwrap_or(0);
    RoleCost {
        role,
        machines: traffic.len() as u32,
        messages,
        bytes,
        bytes_per_s: rate(bytes as f64) / each,
        peak_bytes_per_s: rate(busiest as f64),
        messages_per_s: rate(messages as f64) / each,
        cores: rate(meter.seconds()) / each,
        memory_bytes: memory as f64 / each,
    }
}

//! Simulated time: microseconds of one clock that all simulated machines share.

/// A simulated moment or span, in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
/// One day.
pub const DAY: Micros = 86_400 * SECOND;

/// A span of so many seconds; what is beyond the clock's range is cut to it.
pub fn seconds(span: f64) -> Micros {
    (span * SECOND as f64) as Micros
}

/// So many seconds are in a span.
pub fn in_seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

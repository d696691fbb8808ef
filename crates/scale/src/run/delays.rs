//! Delays, in a histogram.

use hdrhistogram::Histogram;

use crate::measurement::Delays;
use crate::time::Micros;

/// Significant digits that are kept.
const DIGITS: u8 = 3;
/// Longer delays than an hour count as an hour.
const LONGEST_US: u64 = 3_600_000_000;

/// Delays of one kind.
#[derive(Debug, Default)]
pub(super) struct DelayHistogram(Option<Histogram<u64>>);

impl DelayHistogram {
    /// Counts a delay; one under a microsecond as one.
    pub(super) fn record(&mut self, delay: Micros) {
        let delay = u64::try_from(delay).unwrap_or(0).clamp(1, LONGEST_US);
        if self.0.is_none() {
            self.0 = Histogram::new_with_bounds(1, LONGEST_US, DIGITS).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(delay);
        }
    }

    /// The percentiles.
    pub(super) fn delays(&self) -> Delays {
        let Some(histogram) = &self.0 else { return Delays::default() };
        Delays {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

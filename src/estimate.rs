//! Running estimates of measured quantities.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Divisor of a new sample's weight in a running mean: each sample moves the mean by 1/8 of its distance.
pub const SMOOTHING_DIVISOR: Micros = 8;

/// Running mean and mean deviation of response times (as in RFC 6298), in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ResponseTimes {
    mean: Option<Micros>,
    deviation: Micros,
}

impl ResponseTimes {
    /// Returns whether there is no sample yet.
    pub fn is_empty(&self) -> bool {
        self.mean.is_none()
    }

    /// Adds the response time of one answer.
    pub fn record(&mut self, elapsed: Micros) {
        let mean = self.mean.unwrap_or(elapsed);
        let deviation = if self.mean.is_some() { self.deviation } else { elapsed / 2 };
        self.deviation = deviation + ((elapsed - mean).abs() - deviation) / SMOOTHING_DIVISOR;
        self.mean = Some(mean + (elapsed - mean) / SMOOTHING_DIVISOR);
    }

    /// Returns the mean plus a number of mean deviations, if there is a sample.
    pub fn upper_bound(&self, deviations: Micros) -> Option<Micros> {
        self.mean.map(|mean| mean + deviations * self.deviation)
    }
}

//! What a sender has measured, as running figures. Owns how readings are smoothed; what follows from a figure is
//! for the rules to decide.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Weight of a new reading in a running mean: one in this many.
pub const SMOOTHING: Micros = 8;

/// How long answers take: running mean and mean deviation (as in RFC 6298).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AnswerTimes {
    mean: Option<Micros>,
    deviation: Micros,
}

impl AnswerTimes {
    /// Whether nothing was answered yet.
    pub fn unknown(&self) -> bool {
        self.mean.is_none()
    }

    /// An answer took so long.
    pub fn answered(&mut self, took: Micros) {
        let mean = self.mean.unwrap_or(took);
        let deviation = if self.mean.is_some() { self.deviation } else { took / 2 };
        self.deviation = deviation + ((took - mean).abs() - deviation) / SMOOTHING;
        self.mean = Some(mean + (took - mean) / SMOOTHING);
    }

    /// The mean and so many mean deviations, once something was answered.
    pub fn within(&self, deviations: Micros) -> Option<Micros> {
        self.mean.map(|mean| mean + deviations * self.deviation)
    }
}

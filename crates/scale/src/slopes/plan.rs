//! Which points to measure, and how long each may take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::axis::{Axis, Conditions};

/// How far a plan goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Extent {
    /// Small fleets, done in under 3 minutes.
    Quick,
    /// Up to the coming number of relays, done in about 10 minutes.
    Full,
}

/// The points to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// How far it goes.
    pub extent: Extent,
    /// Where every axis starts; all sizes but that of the axis are held here.
    pub base: Conditions,
    /// Sizes of each axis, the one of the base among them.
    pub sizes: Vec<(Axis, Vec<f64>)>,
    /// Two runs with all sizes raised at once: the first tells how axes combine, the second checks it.
    pub corners: [Conditions; 2],
    /// Simulated seconds that are measured in each point.
    pub simulated_s: u32,
    /// Real time that a point may take.
    pub bound: Duration,
    /// Real time that all points may take together; points not begun by then are recorded as partial.
    pub bound_of_all: Duration,
}

impl Plan {
    /// All conditions to measure, each once, those of the fewest relays first.
    pub fn conditions(&self) -> Vec<Conditions> {
        let mut all = vec![self.base];
        let on_axes = self.sizes.iter().flat_map(|(axis, sizes)| {
            sizes.iter().map(|&size| axis.set(&self.base, size)).collect::<Vec<_>>()
        });
        for conditions in on_axes.chain(self.corners) {
            if !all.contains(&conditions) {
                all.push(conditions);
            }
        }
        all.sort_by_key(|conditions| conditions.relays);
        all
    }
}

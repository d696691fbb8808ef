//! Which points to measure, and how long each may take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::axis::{Axis, Conditions};

/// Where the axes of both plans start. What does not make a run longer is at the coming size already.
const BASE: Conditions = Conditions { relays: 60, destinations: 1_000, ..Conditions::TARGET };

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
    /// Simulated seconds before anything is counted in a point.
    pub warm_up_s: u32,
    /// Simulated seconds that are measured in each point.
    pub simulated_s: u32,
    /// Real time that a point may take.
    pub bound: Duration,
    /// Real time that all points may take together; points not begun by then are recorded as partial.
    pub bound_of_all: Duration,
}

impl Plan {
    /// Up to 300 relays, in under 3 minutes.
    pub fn quick() -> Self {
        Self {
            extent: Extent::Quick,
            base: BASE,
            sizes: vec![
                (Axis::Relays, vec![30.0, 40.0, 60.0, 90.0, 130.0, 180.0, 240.0, 300.0]),
                (Axis::Destinations, vec![250.0, 500.0, 1_000.0, 1_500.0, 2_000.0, 4_000.0]),
                (Axis::ShareDown, vec![1.0, 2.0, 4.3, 6.0, 8.0, 12.0]),
                (Axis::Events, vec![65.0, 130.0, 260.0, 520.0, 780.0, 1_040.0]),
                (Axis::Changes, vec![400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0]),
            ],
            corners: [
                Conditions { relays: 90, destinations: 1_500, ..BASE },
                Conditions { relays: 180, destinations: 3_000, ..BASE },
            ],
            warm_up_s: 30,
            simulated_s: 30,
            bound: Duration::from_secs(25),
            bound_of_all: Duration::from_secs(150),
        }
    }

    /// Up to the coming number of relays, in about 10 minutes.
    pub fn full() -> Self {
        Self {
            extent: Extent::Full,
            sizes: vec![
                (Axis::Relays, vec![30.0, 60.0, 120.0, 200.0, 300.0, 450.0, 650.0, 1_000.0]),
                (
                    Axis::Destinations,
                    vec![250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 56_000.0],
                ),
                (Axis::ShareDown, vec![1.0, 2.0, 3.0, 4.3, 6.0, 8.0, 12.0, 16.0]),
                (Axis::Events, vec![65.0, 130.0, 260.0, 390.0, 520.0, 780.0, 1_040.0, 2_080.0]),
                (Axis::Changes, vec![400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0, 25_600.0, 51_200.0]),
            ],
            corners: [
                Conditions { relays: 120, destinations: 2_000, ..BASE },
                Conditions { relays: 300, destinations: 8_000, ..BASE },
            ],
            warm_up_s: 60,
            simulated_s: 60,
            bound: Duration::from_secs(150),
            bound_of_all: Duration::from_secs(600),
            ..Self::quick()
        }
    }

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

//! Which points to measure, and how long each may take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::axis::{Axis, Conditions};
use super::quantity::Subject;
use crate::measurement::Role;

/// Long enough that the permits of a limit reach their usual rate.
const WARM_UP_S: u32 = 15;
/// Long enough that all who live know those that are killed at its start as dead.
const SIMULATED_S: u32 = 20;

/// How far a plan goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Extent {
    /// Small fleets, done in under 3 minutes.
    Quick,
    /// Up to the coming number of relays, done in about 12 minutes.
    Full,
}

/// Roles that are measured together, from a base that suits what they cost to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Its name, which runs refer to.
    pub name: String,
    /// Roles whose cores are on.
    pub roles: Vec<Role>,
    /// What is assessed of its runs.
    pub subjects: Vec<Subject>,
    /// Where every axis starts; all sizes but that of the axis are held here.
    pub base: Conditions,
    /// Sizes of each axis, in order, the one of the base among them.
    pub sizes: Vec<(Axis, Vec<f64>)>,
    /// Two runs with several sizes raised at once: the first tells how axes combine, the second checks it.
    pub corners: [Conditions; 2],
}

impl Group {
    /// Whether its points distribute changes of configuration, and not run the cores of relays under load.
    pub fn is_distribution(&self) -> bool {
        self.roles.contains(&Role::Configuration)
    }

    /// All conditions to measure, each once.
    pub fn conditions(&self) -> Vec<Conditions> {
        let on_axis = |(axis, sizes): &(Axis, Vec<f64>)| -> Vec<Conditions> {
            sizes.iter().map(|&size| axis.set(&self.base, size)).collect()
        };
        let mut all = vec![self.base];
        for conditions in self.sizes.iter().flat_map(on_axis).chain(self.corners) {
            if !all.contains(&conditions) {
                all.push(conditions);
            }
        }
        all
    }
}

/// The points to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// How far it goes.
    pub extent: Extent,
    /// Groups of roles.
    pub groups: Vec<Group>,
    /// Simulated seconds before anything is counted in a point.
    pub warm_up_s: u32,
    /// Simulated seconds that are measured in each point.
    pub simulated_s: u32,
    /// Simulated seconds in which the changes come in a point that distributes changes.
    pub changing_s: u32,
    /// Real time that a point may take.
    pub bound: Duration,
    /// Real time that all points may take together; points not begun by then are recorded as partial.
    pub bound_of_all: Duration,
}

impl Plan {
    /// Small fleets, in under 3 minutes.
    pub fn quick() -> Self {
        Self {
            extent: Extent::Quick,
            groups: vec![members_quick(), limits_quick(), distribution_quick()],
            warm_up_s: WARM_UP_S,
            simulated_s: SIMULATED_S,
            changing_s: 300,
            bound: Duration::from_secs(30),
            bound_of_all: Duration::from_secs(150),
        }
    }

    /// Up to the coming number of relays, in about 12 minutes.
    pub fn full() -> Self {
        Self {
            extent: Extent::Full,
            groups: vec![members_full(), limits_full(), distribution_full()],
            warm_up_s: WARM_UP_S,
            simulated_s: SIMULATED_S,
            changing_s: 600,
            bound: Duration::from_secs(150),
            bound_of_all: Duration::from_secs(900),
        }
    }

    /// All points, as the place of the group and the conditions; those expected to take the longest come last, so
    /// that the bound of all points ends as few as may be.
    pub fn points(&self) -> Vec<(usize, Conditions)> {
        let of_group = |(place, group): (usize, &Group)| -> Vec<(usize, Conditions)> {
            group.conditions().into_iter().map(|conditions| (place, conditions)).collect()
        };
        let mut points: Vec<_> = self.groups.iter().enumerate().flat_map(of_group).collect();
        points.sort_by(|(_, one), (_, other)| one.events_per_s().total_cmp(&other.events_per_s()));
        points
    }
}

/// Members ask all others below 65 relays, and a bounded number of them above; a form fitted across that knee predicts
/// nothing, so fleets begin above it.
fn members(
    base: Conditions, relays: &[f64], destinations: &[f64], events: &[f64], corners: [Conditions; 2],
) -> Group {
    Group {
        name: "members".into(),
        roles: vec![Role::Member, Role::HealthObservations],
        subjects: vec![Subject::Member, Subject::HealthObservations, Subject::Fleet],
        base,
        sizes: sizes(relays, destinations, events),
        corners,
    }
}

fn members_quick() -> Group {
    let base = Conditions { relays: 80, destinations: 1_000, events_per_relay: 25.0, ..Conditions::TARGET };
    members(
        base,
        &[80.0, 90.0, 100.0, 115.0, 130.0, 150.0, 175.0, 200.0],
        &[350.0, 500.0, 700.0, 1_000.0, 1_400.0, 2_000.0, 2_800.0, 4_000.0],
        &[10.0, 15.0, 20.0, 25.0, 35.0, 50.0, 70.0, 100.0],
        [
            Conditions { relays: 100, destinations: 1_500, events_per_relay: 30.0, ..base },
            Conditions { relays: 150, destinations: 3_000, events_per_relay: 40.0, ..base },
        ],
    )
}

fn members_full() -> Group {
    // Five events a second for each destination; nine are coming.
    let base = Conditions { relays: 100, destinations: 1_000, events_per_relay: 50.0, ..Conditions::TARGET };
    members(
        base,
        &[80.0, 100.0, 140.0, 200.0, 280.0, 400.0, 600.0, 1_000.0],
        &[250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 20_000.0, 56_000.0],
        &[25.0, 37.5, 50.0, 75.0, 120.0, 200.0, 320.0, 520.0],
        [
            Conditions { relays: 150, destinations: 2_000, events_per_relay: 75.0, ..base },
            Conditions { relays: 250, destinations: 5_000, events_per_relay: 120.0, ..base },
        ],
    )
}

/// Limits cost most of a run's time, so their fleets are smaller.
fn limits(relays: &[f64], destinations: &[f64], events: &[f64], corners: [Conditions; 2]) -> Group {
    Group {
        name: "limits".into(),
        roles: vec![Role::LimitCoordinator],
        subjects: vec![Subject::LimitCoordinator],
        base: LIMITS_BASE,
        sizes: sizes(relays, destinations, events),
        corners,
    }
}

const LIMITS_BASE: Conditions =
    Conditions { relays: 40, destinations: 100, events_per_relay: 10.0, ..Conditions::TARGET };

fn limits_quick() -> Group {
    limits(
        &[20.0, 30.0, 40.0, 60.0, 80.0, 110.0, 150.0, 200.0],
        &[25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0],
        &[3.0, 5.0, 7.0, 10.0, 15.0, 20.0, 30.0, 50.0],
        [
            Conditions { relays: 60, destinations: 150, events_per_relay: 15.0, ..LIMITS_BASE },
            Conditions { relays: 90, destinations: 250, events_per_relay: 20.0, ..LIMITS_BASE },
        ],
    )
}

fn limits_full() -> Group {
    limits(
        &[20.0, 40.0, 80.0, 130.0, 200.0, 350.0, 600.0, 1_000.0],
        &[50.0, 100.0, 200.0, 400.0, 1_000.0, 4_000.0, 15_000.0, 56_000.0],
        &[5.0, 10.0, 20.0, 40.0, 80.0, 150.0, 280.0, 520.0],
        [
            Conditions { relays: 80, destinations: 200, events_per_relay: 20.0, ..LIMITS_BASE },
            Conditions { relays: 120, destinations: 300, events_per_relay: 30.0, ..LIMITS_BASE },
        ],
    )
}

/// The distribution of changes, which no load and no failing destination reaches: these axes are left out.
fn distribution(
    base: Conditions, relays: &[f64], destinations: &[f64], changes: &[f64], corners: [Conditions; 2],
) -> Group {
    Group {
        name: "distribution".into(),
        roles: vec![Role::Configuration, Role::ControlMachine],
        subjects: vec![Subject::Configuration, Subject::ControlMachine, Subject::Fleet],
        base,
        sizes: vec![
            (Axis::Relays, relays.to_vec()),
            (Axis::Destinations, destinations.to_vec()),
            (Axis::Changes, changes.to_vec()),
        ],
        corners,
    }
}

/// Twenty changes in ten minutes.
const DISTRIBUTION_BASE: Conditions = Conditions {
    relays: 100,
    destinations: 1_000,
    events_per_relay: 0.0,
    changes_per_day: 2_880.0,
    ..Conditions::TARGET
};

fn distribution_quick() -> Group {
    let base = Conditions { relays: 40, ..DISTRIBUTION_BASE };
    distribution(
        base,
        &[30.0, 40.0, 50.0, 60.0, 80.0, 100.0, 130.0, 160.0],
        &[125.0, 250.0, 500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 8_000.0],
        &[1_152.0, 1_728.0, 2_304.0, 2_880.0, 4_320.0, 5_760.0, 8_640.0, 17_280.0],
        [
            Conditions { relays: 60, destinations: 1_500, changes_per_day: 4_320.0, ..base },
            Conditions { relays: 80, destinations: 3_000, changes_per_day: 5_760.0, ..base },
        ],
    )
}

fn distribution_full() -> Group {
    let base = DISTRIBUTION_BASE;
    distribution(
        base,
        &[80.0, 100.0, 140.0, 200.0, 280.0, 400.0, 600.0, 1_000.0],
        &[250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 20_000.0, 56_000.0],
        &[576.0, 1_152.0, 1_728.0, 2_880.0, 4_320.0, 5_760.0, 8_640.0, 17_280.0],
        [
            Conditions { relays: 150, destinations: 2_000, changes_per_day: 4_320.0, ..base },
            Conditions { relays: 250, destinations: 5_000, changes_per_day: 5_760.0, ..base },
        ],
    )
}

/// Changes of configuration do not reach the roles of these groups, so that axis is left out.
fn sizes(relays: &[f64], destinations: &[f64], events: &[f64]) -> Vec<(Axis, Vec<f64>)> {
    vec![
        (Axis::Relays, relays.to_vec()),
        (Axis::Destinations, destinations.to_vec()),
        (Axis::ShareDown, vec![1.0, 1.5, 2.0, 3.0, 4.3, 6.0, 8.0, 12.0]),
        (Axis::Events, events.to_vec()),
    ]
}

//! Which points to measure, and how long each may take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::axis::{Axis, Conditions};
use super::quantity::Subject;
use crate::measurement::Role;

/// How far a plan goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Extent {
    /// Small fleets, done in under 3 minutes.
    Quick,
    /// Up to the coming number of relays, done in about 10 minutes.
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
            groups: vec![members_quick(), limits_quick()],
            warm_up_s: 15,
            simulated_s: 15,
            bound: Duration::from_secs(25),
            bound_of_all: Duration::from_secs(150),
        }
    }

    /// Up to the coming number of relays, in about 10 minutes.
    pub fn full() -> Self {
        Self {
            extent: Extent::Full,
            groups: vec![members_full(), limits_full()],
            warm_up_s: 30,
            simulated_s: 30,
            bound: Duration::from_secs(180),
            bound_of_all: Duration::from_secs(600),
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
fn members(relays: &[f64], destinations: &[f64], events: &[f64], corners: [Conditions; 2]) -> Group {
    Group {
        name: "members".into(),
        roles: vec![Role::Member, Role::HealthObservations],
        subjects: vec![Subject::Member, Subject::HealthObservations, Subject::Fleet],
        base: MEMBERS_BASE,
        sizes: sizes(relays, destinations, events),
        corners,
    }
}

const MEMBERS_BASE: Conditions =
    Conditions { relays: 100, destinations: 1_000, events_per_relay: 50.0, ..Conditions::TARGET };

fn members_quick() -> Group {
    members(
        &[80.0, 100.0, 120.0, 150.0, 180.0, 220.0, 260.0, 300.0],
        &[250.0, 500.0, 1_000.0, 1_500.0, 2_000.0, 3_000.0, 4_000.0, 6_000.0],
        &[12.5, 25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0],
        [
            Conditions { relays: 130, destinations: 1_500, events_per_relay: 75.0, ..MEMBERS_BASE },
            Conditions { relays: 200, destinations: 3_000, events_per_relay: 100.0, ..MEMBERS_BASE },
        ],
    )
}

fn members_full() -> Group {
    members(
        &[80.0, 100.0, 150.0, 220.0, 320.0, 470.0, 690.0, 1_000.0],
        &[250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 20_000.0, 56_000.0],
        &[12.5, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 520.0],
        [
            Conditions { relays: 150, destinations: 2_000, events_per_relay: 100.0, ..MEMBERS_BASE },
            Conditions { relays: 300, destinations: 8_000, events_per_relay: 200.0, ..MEMBERS_BASE },
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
        &[20.0, 30.0, 40.0, 60.0, 90.0, 130.0, 180.0, 250.0],
        &[25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 450.0, 700.0],
        &[2.5, 5.0, 10.0, 15.0, 20.0, 30.0, 45.0, 70.0],
        [
            Conditions { relays: 60, destinations: 150, events_per_relay: 15.0, ..LIMITS_BASE },
            Conditions { relays: 90, destinations: 250, events_per_relay: 20.0, ..LIMITS_BASE },
        ],
    )
}

fn limits_full() -> Group {
    limits(
        &[20.0, 40.0, 80.0, 130.0, 200.0, 350.0, 600.0, 1_000.0],
        &[25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0],
        &[5.0, 10.0, 20.0, 40.0, 80.0, 140.0, 250.0, 520.0],
        [
            Conditions { relays: 80, destinations: 200, events_per_relay: 20.0, ..LIMITS_BASE },
            Conditions { relays: 160, destinations: 400, events_per_relay: 40.0, ..LIMITS_BASE },
        ],
    )
}

/// Changes of configuration do not reach the roles of these groups, so that axis is left out.
fn sizes(relays: &[f64], destinations: &[f64], events: &[f64]) -> Vec<(Axis, Vec<f64>)> {
    vec![
        (Axis::Relays, relays.to_vec()),
        (Axis::Destinations, destinations.to_vec()),
        (Axis::ShareDown, vec![1.0, 2.0, 3.0, 4.3, 6.0, 8.0, 12.0, 16.0]),
        (Axis::Events, events.to_vec()),
    ]
}

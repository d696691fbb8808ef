//! The scenario of each point: one fleet, with other sizes.

use std::time::Duration;

use super::axis::Conditions;
use super::plan::{Group, Plan};
use crate::scenario::{Scenario, ScenarioError};

/// The fleet of all points, as a scenario.
pub const FLEET: &str = include_str!("fleet.toml");

/// Name of the fleet's file, for errors.
const FLEET_FILE: &str = "slopes/fleet.toml";

/// The fleet that is built in.
///
/// # Errors
/// What is wrong with its file.
pub fn built_in_fleet() -> Result<Scenario, ScenarioError> {
    Scenario::parse(FLEET, FLEET_FILE)
}

/// The fleet with the roles of a group and the sizes of a point, which may take so much real time.
pub fn scenario_of(
    fleet: &Scenario, plan: &Plan, group: &Group, conditions: &Conditions, bound: Duration,
) -> Scenario {
    Scenario {
        relays: conditions.relays,
        destinations: conditions.destinations,
        share_down: conditions.share_down,
        events_per_s: conditions.events_per_s(),
        roles: group.roles.clone(),
        changes_per_day: conditions.changes_per_day,
        warm_up_s: f64::from(plan.warm_up_s),
        seconds: f64::from(plan.simulated_s),
        real_time_limit_s: bound.as_secs_f64(),
        ..fleet.clone()
    }
}

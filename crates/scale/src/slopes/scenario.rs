//! The scenario of each point: one fleet, with other sizes, or one distribution of changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::axis::Conditions;
use super::plan::{Group, Plan};
use crate::progress::Silent;
use crate::rollout_run::{self, RolloutRunError, RolloutScenario, RolloutScenarioError};
use crate::scenario::{Scenario, ScenarioError};
use crate::time::{DAY, SECOND};
use crate::{Measurement, RunError, run};

/// The distribution of all points, as a scenario.
const DISTRIBUTION: &str = include_str!("distribution.toml");

/// Name of its file, for errors.
const DISTRIBUTION_FILE: &str = "slopes/distribution.toml";

/// What a point runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PointScenario {
    /// The control cores of relays under load.
    Cores(Scenario),
    /// Changes of configuration on their way to all relays.
    Distribution(RolloutScenario),
}

/// What a point measured.
#[derive(Clone, Debug, PartialEq)]
pub enum PointOutcome {
    /// It ran to its end.
    Whole(Measurement),
    /// Its bound of real time ended it.
    Partial(Measurement),
}

/// Why a point gave no measurement.
#[derive(Debug, thiserror::Error)]
pub enum PointError {
    /// The cores were not run.
    #[error(transparent)]
    Cores(#[from] RunError),
    /// The distribution was not run.
    #[error(transparent)]
    Distribution(#[from] RolloutRunError),
}

impl PointScenario {
    /// Real time that it may take.
    pub fn bound(&self) -> Duration {
        let seconds = match self {
            Self::Cores(scenario) => scenario.real_time_limit_s,
            Self::Distribution(scenario) => scenario.real_time_limit_s,
        };
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Simulated seconds that it measures.
    pub fn measured_s(&self) -> f64 {
        match self {
            Self::Cores(scenario) => scenario.seconds,
            Self::Distribution(scenario) => scenario.changing_s() + scenario.settle_s,
        }
    }

    /// Runs it.
    ///
    /// # Errors
    /// If it makes no sense, or does not fit the machine.
    pub fn run(&self, seed: u64) -> Result<PointOutcome, PointError> {
        match self {
            Self::Cores(scenario) => match run(scenario, seed, &mut Silent) {
                Ok(measurement) => Ok(PointOutcome::Whole(measurement)),
                Err(RunError::Partial { measurement, .. }) => Ok(PointOutcome::Partial(*measurement)),
                Err(error) => Err(error.into()),
            },
            Self::Distribution(scenario) => match rollout_run::run(scenario, seed, &mut Silent) {
                Ok(measured) => Ok(PointOutcome::Whole(measured.measurement)),
                Err(RolloutRunError::Partial { measured, .. }) => {
                    Ok(PointOutcome::Partial(measured.measurement))
                }
                Err(error) => Err(error.into()),
            },
        }
    }
}

/// The scenario of a point of this group.
///
/// # Errors
/// What is wrong with the file of the distribution.
pub fn point_of(
    fleet: &Scenario, plan: &Plan, group: &Group, conditions: &Conditions, bound: Duration,
) -> Result<PointScenario, RolloutScenarioError> {
    if !group.is_distribution() {
        return Ok(PointScenario::Cores(scenario_of(fleet, plan, group, conditions, bound)));
    }
    let built_in = RolloutScenario::parse(DISTRIBUTION, DISTRIBUTION_FILE)?;
    let changes_in_span =
        conditions.changes_per_day * f64::from(plan.changing_s) * SECOND as f64 / DAY as f64;
    Ok(PointScenario::Distribution(RolloutScenario {
        relays: conditions.relays,
        destinations: conditions.destinations,
        changes: (changes_in_span.round() as u32).max(1),
        changes_per_day: conditions.changes_per_day,
        real_time_limit_s: bound.as_secs_f64(),
        ..built_in
    }))
}

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

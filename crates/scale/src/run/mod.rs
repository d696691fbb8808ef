//! One run of a scenario: many hollow relays on a simulated network, in simulated time.

mod core;
mod count;
mod delays;
mod detection;
mod memory;
mod meter;
mod relay;
mod result;
mod simulation;
mod work;

use std::time::Duration;

use self::simulation::{Bounds, End, Simulation};
use crate::measurement::{Measurement, Role};
use crate::progress::Progress;
use crate::scenario::{Scenario, ScenarioError};

/// Roles whose cores run here.
const ROLES: [Role; 3] = [Role::Member, Role::LimitCoordinator, Role::HealthObservations];
/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// Why a run gave no whole measurement.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario makes no sense.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A role is not run by this harness.
    #[error("the role {0:?} is not run by `scale run`")]
    Role(Role),
    /// The run needs more memory than half of what the machine has. It is refused by its size, or ends when it has as much.
    #[error("it needs about {needed_mb} MB of memory, more than half of the machine's ({bound_mb} MB)")]
    Memory {
        /// Megabytes that it needs, as estimated or as they were allocated.
        needed_mb: u64,
        /// Half of the machine's, in megabytes.
        bound_mb: u64,
    },
    /// The bound of real time ended the run.
    #[error("partial: ended by its bound of {bound_s} s of real time after {} of {wanted_s} simulated seconds", measurement.simulated_s)]
    Partial {
        /// The bound, in seconds.
        bound_s: f64,
        /// Seconds that were to be measured.
        wanted_s: f64,
        /// What was measured until then. Where the warm-up did not end that is no time, and counts are of the warm-up.
        measurement: Box<Measurement>,
    },
}

/// Runs a scenario. The same scenario and seed give the same counts of messages and bytes.
///
/// # Errors
/// Where the scenario is not to be run, or its real-time bound ended it.
pub fn run(scenario: &Scenario, seed: u64, progress: &mut dyn Progress) -> Result<Measurement, RunError> {
    scenario.check()?;
    if let Some(role) = scenario.roles.iter().find(|role| !ROLES.contains(role)) {
        return Err(RunError::Role(*role));
    }
    // Where the system does not tell what the machine has, there is no bound.
    let memory = memory::of_machine().map_or(u64::MAX, |bytes| bytes / 2);
    within(memory, memory::needed(scenario))?;
    let mut simulation = Simulation::new(scenario, seed);
    let real_time = Duration::try_from_secs_f64(scenario.real_time_limit_s).unwrap_or(Duration::MAX);
    let end = simulation.run(Bounds { real_time, memory }, progress);
    let measurement = simulation.finish(seed);
    match end {
        End::Whole => Ok(measurement),
        End::Memory(bytes) => within(memory, bytes).map(|()| measurement),
        End::RealTime => Err(RunError::Partial {
            bound_s: scenario.real_time_limit_s,
            wanted_s: scenario.seconds,
            measurement: Box::new(measurement),
        }),
    }
}

/// Whether so many bytes keep within the bound.
fn within(bound: u64, bytes: u64) -> Result<(), RunError> {
    if bytes <= bound {
        return Ok(());
    }
    Err(RunError::Memory { needed_mb: bytes / MEGABYTE, bound_mb: bound / MEGABYTE })
}

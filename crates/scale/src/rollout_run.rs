//! Distribution of configuration changes at full size, in simulated time: control machines that agree by raft, and many
//! hollow relays that run the very code of `consensus`, `rollout`, `destinations` and `fleet`. Sockets, disks and the clock are
//! simulated.
//!
//! [`RolloutScenario`] says what to run, [`run`] runs it, [`RolloutMeasurement`] is what comes out. [`one_relay`] measures
//! what one relay costs with the whole number of destinations, which a run of many relays in one process has no memory for.

mod author;
mod check;
mod cost;
pub mod days;
mod machine;
pub mod one_relay;
mod result;
mod scenario;
mod simulation;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::scenario::{Failures, RolloutScenario, RolloutScenarioError};
use self::simulation::Simulation;
use crate::measurement::{Delays, Measurement};
use crate::progress::Progress;

/// What a run measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutMeasurement {
    /// Cost of relays (role `configuration`) and of control machines (role `control-machine`), and in `in_force` the time
    /// from the proposal of a change at the raft leader until it is in force on a relay that was connected all that time.
    pub measurement: Measurement,
    /// Changes that were committed.
    pub changes: u64,
    /// Pairs of a relay and a change that were not counted in `in_force`, as the relay was down or cut off meanwhile.
    pub not_connected: u64,
    /// Pairs of a connected relay and a change that was not in force there when the run ended.
    pub missing: u64,
    /// Times that a machine held a set which is not that of a published version.
    pub mixed: u64,
    /// Times that a machine held a version older than one that it had held before.
    pub went_back: u64,
    /// The most subscribers that any machine had at a time.
    pub most_subscribers: usize,
    /// Time from the end of each cut until all relays that are up have what was committed by then.
    pub equal_after_heal: Delays,
    /// Cuts after which that had not come about by the end of the run.
    pub not_equal_after_heal: u64,
    /// Time from the start of a relay that is not cut off until it has what was committed by then.
    pub caught_up: Delays,
    /// Bytes a second that a relay received, in the mean.
    pub received_bytes_per_s: f64,
    /// The most bytes that a relay sent in one second.
    pub most_bytes_in_a_second: u64,
    /// The most bytes that a relay sent in one minute.
    pub most_bytes_in_a_minute: u64,
    /// Restarts and failures that came about, of relays and of control machines.
    pub restarts: u64,
    /// See `restarts`.
    pub failures: u64,
    /// Upstreams that relays replaced as they did not answer.
    pub upstreams_replaced: u64,
    /// Datagrams and raft messages that were sent, exactly.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Why a run gave no whole measurement.
#[derive(Debug, thiserror::Error)]
pub enum RolloutRunError {
    /// The scenario makes no sense.
    #[error(transparent)]
    Scenario(#[from] RolloutScenarioError),
    /// The real-time bound ended the run.
    #[error("partial: ended by its bound of {bound_s} s of real time")]
    Partial {
        /// The bound, in seconds.
        bound_s: f64,
        /// What was measured until then.
        measured: Box<RolloutMeasurement>,
    },
}

/// Runs a scenario. The same scenario and seed give the same counts of messages and bytes.
///
/// # Errors
/// Where the scenario is not to be run, or its real-time bound ended it.
pub fn run(
    scenario: &RolloutScenario, seed: u64, progress: &mut dyn Progress,
) -> Result<RolloutMeasurement, RolloutRunError> {
    scenario.check()?;
    let mut simulation = Simulation::new(scenario, seed)?;
    let bound = Duration::try_from_secs_f64(scenario.real_time_limit_s).unwrap_or(Duration::MAX);
    let whole = simulation.run(bound, progress);
    let measured = simulation.finish(seed);
    if whole {
        return Ok(measured);
    }
    Err(RolloutRunError::Partial { bound_s: scenario.real_time_limit_s, measured: Box::new(measured) })
}

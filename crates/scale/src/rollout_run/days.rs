//! Days on which something fails or much changes at once: how long until all is as before, and what is wrong meanwhile.
//!
//! A [`Day`] is a fleet with one one-off event; its targets are drawn by the seed. [`run`] watches the machines from the event
//! on, and ends when all has been as before for a while. [`DayOutcome`] is what it saw.

mod file;
mod outcome;
mod target;

use std::time::Duration;

pub use self::file::{Day, EventKind, OneOff};
pub use self::outcome::{DayOutcome, Height, Phase};
pub(super) use self::target::{Action, Disturbance};
use super::simulation::Simulation;
use super::{RolloutScenario, RolloutScenarioError};
use crate::progress::Progress;
use crate::scenario::ScenarioError;

/// The fleet that is coming, without failures.
const TARGET: &str = include_str!("days/target.toml");
/// A small fleet, without failures.
const QUICK: &str = include_str!("days/quick.toml");
/// The days that are built in, each with the name of its file.
const DAYS: [(&str, &str); 9] = [
    ("days/machine.toml", include_str!("days/machine.toml")),
    ("days/rack.toml", include_str!("days/rack.toml")),
    ("days/zone.toml", include_str!("days/zone.toml")),
    ("days/region.toml", include_str!("days/region.toml")),
    ("days/zone-restart.toml", include_str!("days/zone-restart.toml")),
    ("days/zone-empty.toml", include_str!("days/zone-empty.toml")),
    ("days/bad-change.toml", include_str!("days/bad-change.toml")),
    ("days/burst.toml", include_str!("days/burst.toml")),
    ("days/controls.toml", include_str!("days/controls.toml")),
];

/// Why a day gave no outcome.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The file of the day is wrong.
    #[error(transparent)]
    File(#[from] ScenarioError),
    /// The fleet makes no sense.
    #[error("{day}: {source}")]
    Fleet {
        /// Name of the day.
        day: String,
        /// What is wrong.
        source: RolloutScenarioError,
    },
    /// The event asks for more machines than there are.
    #[error("{day}: event.count: is {count}, but there are {machines}")]
    TooMany {
        /// Name of the day.
        day: String,
        /// What the event asks for.
        count: u32,
        /// Machines to choose from.
        machines: usize,
    },
    /// The real-time bound ended the run.
    #[error("{day}: partial: ended by its bound of {bound_s} s of real time")]
    Partial {
        /// Name of the day.
        day: String,
        /// The bound, in seconds.
        bound_s: f64,
    },
}

/// The days that are built in.
///
/// # Errors
/// What is wrong with the first file that is.
pub fn built_in_days() -> Result<Vec<Day>, ScenarioError> {
    DAYS.iter().map(|(file, text)| Day::parse(text, file)).collect()
}

/// The fleet that is coming, or a small one.
///
/// # Errors
/// What is wrong with its file.
pub fn built_in_fleet(quick: bool) -> Result<RolloutScenario, RolloutScenarioError> {
    let (file, text) = if quick { ("days/quick.toml", QUICK) } else { ("days/target.toml", TARGET) };
    let not_understood = |source| RolloutScenarioError::Parse { file: file.into(), source: Box::new(source) };
    toml::from_str(text).map_err(not_understood)
}

/// Runs a day on a fleet. The same day, fleet and seed give the same outcome, real time aside.
///
/// # Errors
/// Where the day makes no sense on this fleet, or the fleet's real-time bound ended it.
pub fn run(
    day: &Day, fleet: &RolloutScenario, seed: u64, progress: &mut dyn Progress,
) -> Result<DayOutcome, DayError> {
    let of_fleet = |source| DayError::Fleet { day: day.name.clone(), source };
    let mut scenario = day.scenario(fleet);
    scenario.check().map_err(of_fleet)?;
    let disturbance = target::disturbance(day, &scenario, seed).map_err(|wrong| match wrong {
        target::TargetError::TooMany { count, machines } => {
            DayError::TooMany { day: day.name.clone(), count, machines }
        }
        target::TargetError::Topology(source) => of_fleet(source.into()),
    })?;
    scenario.cuts = disturbance.cut().into_iter().collect();
    let mut simulation = Simulation::new(&scenario, seed).map_err(of_fleet)?;
    simulation.watch(disturbance);
    let bound_s = scenario.real_time_limit_s;
    let bound = Duration::try_from_secs_f64(bound_s).unwrap_or(Duration::MAX);
    if !simulation.run(bound, progress) {
        return Err(DayError::Partial { day: day.name.clone(), bound_s });
    }
    Ok(simulation.day_outcome(day))
}

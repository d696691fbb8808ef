//! `scale rollout`: distributes configuration changes to many relays, and prints what that measured.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use scale::Progress;
use scale::rollout_run::{self, RolloutRunError, RolloutScenario, one_relay};

use super::run::Bar;

/// Exit status of a run that its real-time bound ended.
const PARTIAL: u8 = 3;

/// What to run.
#[derive(Debug, Args)]
pub struct RolloutArgs {
    /// The scenario, a TOML file.
    scenario: PathBuf,
    /// Changes in place of the scenario's.
    #[arg(long)]
    changes: Option<u32>,
    /// The same seed gives the same counts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measures one relay with so many destinations instead, without a network.
    #[arg(long)]
    one_relay: Option<u32>,
}

/// Runs a scenario, and prints the measurement as JSON; the exit status tells whether it is whole.
pub fn run(args: &RolloutArgs) -> anyhow::Result<ExitCode> {
    let mut scenario = RolloutScenario::read(&args.scenario)?;
    scenario.changes = args.changes.unwrap_or(scenario.changes);
    if let Some(destinations) = args.one_relay {
        let measured = one_relay::measure(destinations, scenario.changes, args.seed);
        println!("{}", serde_json::to_string_pretty(&measured)?);
        return Ok(ExitCode::SUCCESS);
    }
    let mut bar = Bar::new();
    let outcome = rollout_run::run(&scenario, args.seed, &mut bar as &mut dyn Progress);
    match outcome {
        Ok(measured) => {
            println!("{}", serde_json::to_string_pretty(&measured)?);
            Ok(ExitCode::SUCCESS)
        }
        Err(RolloutRunError::Partial { measured, bound_s }) => {
            println!("{}", serde_json::to_string_pretty(&measured)?);
            eprintln!("scale: partial: ended by its bound of {bound_s} s of real time");
            Ok(ExitCode::from(PARTIAL))
        }
        Err(error) => Err(error).with_context(|| args.scenario.display().to_string()),
    }
}

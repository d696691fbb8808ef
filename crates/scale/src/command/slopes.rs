//! `scale slopes`: measures how costs grow with each size of the fleet.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use clap::Args;
use indicatif::ProgressBar;
use scale::Scenario;
use scale::slopes::assess::assess;
use scale::slopes::axis::Conditions;
use scale::slopes::execute::{Run, execute};
use scale::slopes::file::{SlopesFile, VERSION};
use scale::slopes::machine::Machine;
use scale::slopes::plan::{Group, Plan};
use scale::slopes::projection::project;
use scale::slopes::scenario::{built_in_fleet, point_of};
use scale::slopes::table::file_tables;

use super::point::run_in_process;

/// Stands for a commit that could not be read.
const UNKNOWN_COMMIT: &str = "unknown";

/// What to measure, and where the outcome goes.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    /// Small fleets, in under 3 minutes.
    #[arg(long)]
    quick: bool,
    /// The file of slopes to write.
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    out: PathBuf,
    /// The same seed gives the same counts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A fleet in place of the built-in one; its sizes and times are those of each point.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// The commit that is run; asked of git if not given.
    #[arg(long)]
    commit: Option<String>,
    /// A page whose marked figures to replace afterwards.
    #[arg(long)]
    page: Option<PathBuf>,
}

/// Measures the points of a plan, writes the file and prints its tables.
///
/// A form that did not predict is an outcome to be read, not a failure of the command.
pub fn slopes(args: &SlopesArgs) -> anyhow::Result<ExitCode> {
    let fleet = match &args.fleet {
        Some(path) => Scenario::read(path)?,
        None => built_in_fleet()?,
    };
    let plan = if args.quick { Plan::quick() } else { Plan::full() };
    // Asked before the runs, as the folder may have moved on when they are done.
    let commit = args.commit.clone().unwrap_or_else(commit);
    let machine = Machine::observe();
    let runs = measure(&fleet, &plan, args.seed);
    let slopes = assess(&plan, &runs);
    let file = SlopesFile {
        version: VERSION,
        command: command_line(args),
        seed: args.seed,
        commit,
        extent: plan.extent,
        machine,
        projections: project(&plan, &runs, &slopes),
        groups: plan.groups,
        slopes,
        runs,
    };
    file.write(&args.out)?;
    print!("{}", file_tables(&file));
    if let Some(page) = &args.page {
        super::page::rewrite_file(page, &file)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn measure(fleet: &Scenario, plan: &Plan, seed: u64) -> Vec<Run> {
    let count = plan.points().len();
    let (bar, done) = (ProgressBar::new(count as u64), AtomicUsize::new(0));
    let runs = execute(plan, |group: &Group, conditions: Conditions, bound: Duration| {
        let run = match point_of(fleet, plan, group, &conditions, bound) {
            Ok(scenario) => run_in_process(&scenario, group, conditions, seed),
            Err(error) => Run::failed(group, conditions, Duration::ZERO, error.to_string()),
        };
        bar.set_position(done.fetch_add(1, Ordering::Relaxed) as u64 + 1);
        run
    });
    bar.finish_and_clear();
    runs
}

/// The command as to be typed again: what it measures, not where the outcome goes.
fn command_line(args: &SlopesArgs) -> String {
    let quick = if args.quick { " --quick" } else { "" };
    let fleet =
        args.fleet.as_deref().map(Path::display).map_or_else(String::new, |path| format!(" --fleet {path}"));
    format!("scale slopes{quick}{fleet} --seed {}", args.seed)
}

/// The commit of the folder that the command runs in, as far as git tells.
pub(super) fn commit() -> String {
    let ask = || -> anyhow::Result<String> {
        let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output()?;
        let text = String::from_utf8(output.stdout).context("the answer of git")?;
        Ok(text.trim().to_owned())
    };
    ask().ok().filter(|commit| !commit.is_empty()).unwrap_or_else(|| UNKNOWN_COMMIT.to_owned())
}

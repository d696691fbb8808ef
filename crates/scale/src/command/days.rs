//! `scale days`: runs days on which something fails or much changes at once, prints a table and writes a file.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use scale::rollout_run::RolloutScenario;
use scale::rollout_run::days::{Day, DayError, DayOutcome, Phase, built_in_days, built_in_fleet, run};
use scale::slopes::machine::Machine;
use serde::{Deserialize, Serialize};

use super::run::Bar;
use super::slopes::commit;

/// Exit status of days after which not all was as before.
const NOT_WHOLE: u8 = 3;

/// What to run.
#[derive(Debug, Args)]
pub struct DaysArgs {
    /// The same seed gives the same outcome, and the same targets.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A fleet of 60 relays, in under a minute.
    #[arg(long)]
    quick: bool,
    /// A fleet in place of the built-in one, a scenario of `scale rollout`.
    #[arg(long, conflicts_with = "quick")]
    fleet: Option<PathBuf>,
    /// Destinations of each relay, in place of the fleet's and of each day's.
    #[arg(long)]
    destinations: Option<u32>,
    /// Runs only the day of this name.
    #[arg(long)]
    only: Option<String>,
    /// Runs the day of this file in place of those that are built in.
    #[arg(long, conflicts_with = "only")]
    day: Option<PathBuf>,
    /// Changes a day in place of each day's, where operators make any all the while.
    #[arg(long)]
    changes_per_day: Option<f64>,
    /// The file to write.
    #[arg(long, default_value = "docs/capacity/days.json")]
    out: PathBuf,
}

/// What a run of the days wrote.
#[derive(Debug, Serialize, Deserialize)]
struct DaysFile {
    command: String,
    seed: u64,
    commit: String,
    /// The machine and its load; simulated figures do not depend on them, real seconds do.
    machine: Machine,
    days: Vec<DayOutcome>,
    /// Days that gave no outcome.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    without_outcome: Vec<WithoutOutcome>,
}

/// A day that gave no outcome.
#[derive(Debug, Serialize, Deserialize)]
struct WithoutOutcome {
    name: String,
    why: String,
}

/// Runs the days one after the other; the exit status tells whether all was as before after each. A day that gives no outcome
/// is named in the file, and keeps no other from being run.
pub fn days(args: &DaysArgs) -> anyhow::Result<ExitCode> {
    let fleet = match &args.fleet {
        Some(path) => RolloutScenario::read(path)?,
        None => built_in_fleet(args.quick)?,
    };
    let (commit, machine) = (commit(), Machine::observe());
    let days = chosen(args)?;
    let (command, seed) = (command_line(args), args.seed);
    let mut file = DaysFile { command, seed, commit, machine, days: Vec::new(), without_outcome: Vec::new() };
    for day in &days {
        match run_day(day, &fleet, seed) {
            Ok(outcome) => file.days.push(outcome),
            Err(error) => {
                eprintln!("scale: {error}");
                file.without_outcome.push(WithoutOutcome { name: day.name.clone(), why: error.to_string() });
            }
        }
    }
    write(args, &file)?;
    println!("{}\n{}", times(&file.days), costs(&file.days));
    let whole = file.without_outcome.is_empty() && file.days.iter().all(DayOutcome::is_whole);
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::from(NOT_WHOLE) })
}

fn chosen(args: &DaysArgs) -> anyhow::Result<Vec<Day>> {
    let mut days = match &args.day {
        Some(path) => vec![Day::read(path)?],
        None => built_in_days()?,
    };
    if args.destinations.is_some() {
        days.iter_mut().for_each(|day| day.destinations = args.destinations);
    }
    if let Some(changes) = args.changes_per_day {
        let busy = days.iter_mut().filter(|day| day.changes_per_day.is_some());
        busy.for_each(|day| day.changes_per_day = Some(changes));
    }
    if let Some(only) = &args.only {
        days.retain(|day| day.name == *only);
        anyhow::ensure!(!days.is_empty(), "no day is named {only:?}");
    }
    Ok(days)
}

fn run_day(day: &Day, fleet: &RolloutScenario, seed: u64) -> Result<DayOutcome, DayError> {
    let mut bar = Bar::new();
    eprintln!("{}", day.title);
    run(day, fleet, seed, &mut bar)
}

fn write(args: &DaysArgs, file: &DaysFile) -> anyhow::Result<()> {
    let path = args.out.display();
    if let Some(folder) = args.out.parent() {
        std::fs::create_dir_all(folder).with_context(|| format!("the folder of {path}"))?;
    }
    let text = serde_json::to_string_pretty(file)? + "\n";
    std::fs::write(&args.out, text).with_context(|| path.to_string())
}

/// The command as to be typed again: what it measures, not where the outcome goes.
fn command_line(args: &DaysArgs) -> String {
    let path = |path: &PathBuf| path.display().to_string();
    let given = [
        ("fleet", args.fleet.as_ref().map(path)),
        ("destinations", args.destinations.map(|destinations| destinations.to_string())),
        ("only", args.only.clone()),
        ("day", args.day.as_ref().map(path)),
        ("changes-per-day", args.changes_per_day.map(|changes| changes.to_string())),
        ("seed", Some(args.seed.to_string())),
    ];
    let given = given.into_iter().filter_map(|(name, value)| Some(format!(" --{name} {}", value?)));
    let quick = if args.quick { " --quick" } else { "" };
    format!("scale days{quick}{}", given.collect::<String>())
}

/// How long until all was as before, and what was wrong.
fn times(days: &[DayOutcome]) -> Table {
    let mut table = table(&[
        "day",
        "lasts s",
        "then current s",
        "as before s",
        "hit: late, oldest s, versions",
        "others: late, for s, last wrong s",
        "after: behind, late, for s",
        "in force p99.9 s",
        "uncommitted s",
    ]);
    for day in days {
        let DayOutcome { hit, others, after, .. } = day;
        table.add_row([
            day.title.clone(),
            format!("{:.0}", day.lasted_s),
            or_never(day.current_s),
            or_never(day.as_before_s),
            format!("{}, {:.0}, {}", hit.most_late, hit.oldest_s, hit.versions_behind),
            format!("{}, {:.2}, {:.2}", others.most_late, others.late_s, others.last_wrong_s),
            after_end(after),
            format!("{:.2}", day.in_force.p999_us as f64 / 1e6),
            format!("{:.2}", day.longest_uncommitted_s),
        ]);
    }
    table
}

fn after_end(after: &Phase) -> String {
    format!("{}, {}, {:.2}", after.most_behind, after.most_late, after.late_s)
}

/// Bytes at the height, and what must not be.
fn costs(days: &[DayOutcome]) -> Table {
    let mut table = table(&[
        "day",
        "destinations",
        "relay bytes/s before",
        "at the height",
        "in a minute",
        "control before",
        "at the height",
        "changes",
        "mixed",
        "went back",
        "real s",
    ]);
    for day in days {
        let height = &day.height;
        let figures = [
            u64::from(day.destinations),
            height.relay_before,
            height.relay,
            height.relay_in_a_minute,
            height.control_before,
            height.control,
            day.changes,
            day.mixed,
            day.went_back,
        ];
        let mut row = vec![day.title.clone()];
        row.extend(figures.iter().map(u64::to_string));
        row.push(format!("{:.1}", day.real_s));
        table.add_row(row);
    }
    table
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn or_never(seconds: Option<f64>) -> String {
    seconds.map_or_else(|| "never".to_owned(), |seconds| format!("{seconds:.2}"))
}

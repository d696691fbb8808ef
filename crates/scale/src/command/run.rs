//! `scale run`: runs one scenario, and prints what it measured.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use indicatif::{ProgressBar, ProgressStyle};
use scale::measurement::{Delays, Maintenance, Measurement, RoleCost};
use scale::{Progress, RunError, Scenario};

/// Exit status of a run that its real-time bound ended.
const PARTIAL: u8 = 3;
/// Steps of the progress bar.
const STEPS: u64 = 1000;

/// What to run.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// The scenario, a TOML file.
    scenario: PathBuf,
    /// Relays in place of the scenario's; each accepts as many events a second as there.
    #[arg(long)]
    relays: Option<u32>,
    /// Destinations in place of the scenario's.
    #[arg(long)]
    destinations: Option<u32>,
    /// Events a second over all relays in place of the scenario's.
    #[arg(long)]
    events_per_s: Option<f64>,
    /// Measured seconds in place of the scenario's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Seconds of the warm-up in place of the scenario's.
    #[arg(long)]
    warm_up_s: Option<f64>,
    /// The same seed gives the same counts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the measurement as JSON.
    #[arg(long)]
    json: bool,
}

impl RunArgs {
    fn scenario(&self) -> anyhow::Result<Scenario> {
        let mut scenario = Scenario::read(&self.scenario)?;
        if let Some(relays) = self.relays {
            scenario = scenario.with_relays(relays);
        }
        scenario.destinations = self.destinations.unwrap_or(scenario.destinations);
        scenario.events_per_s = self.events_per_s.unwrap_or(scenario.events_per_s);
        scenario.seconds = self.seconds.unwrap_or(scenario.seconds);
        scenario.warm_up_s = self.warm_up_s.unwrap_or(scenario.warm_up_s);
        scenario.check()?;
        Ok(scenario)
    }
}

/// Progress on the standard error stream.
#[derive(Debug)]
pub struct Bar(ProgressBar);

impl Bar {
    /// A bar at its start.
    pub fn new() -> Self {
        let bar = ProgressBar::new(STEPS);
        if let Ok(style) =
            ProgressStyle::with_template("{bar:30} {percent:>3} % {msg} ({elapsed}, {eta} left)")
        {
            bar.set_style(style);
        }
        Bar(bar)
    }
}

impl Progress for Bar {
    fn reached(&mut self, part: f64, step: &str) {
        self.0.set_message(step.to_string());
        self.0.set_position((part * STEPS as f64) as u64);
    }
}

/// Runs a scenario; the exit status tells whether the measurement is whole.
pub fn run(args: &RunArgs) -> anyhow::Result<ExitCode> {
    let scenario = args.scenario()?;
    let mut bar = Bar::new();
    let outcome = scale::run(&scenario, args.seed, &mut bar);
    bar.0.finish_and_clear();
    match outcome {
        Ok(measurement) => {
            print(args, &measurement)?;
            Ok(ExitCode::SUCCESS)
        }
        Err(RunError::Partial { ref measurement, .. }) => {
            print(args, measurement)?;
            eprintln!("scale: {}", outcome.as_ref().err().map(ToString::to_string).unwrap_or_default());
            Ok(ExitCode::from(PARTIAL))
        }
        Err(error) => Err(error).with_context(|| args.scenario.display().to_string()),
    }
}

fn print(args: &RunArgs, measurement: &Measurement) -> anyhow::Result<()> {
    if args.json {
        println!("{}", serde_json::to_string_pretty(measurement)?);
        return Ok(());
    }
    let Measurement { relays, seed, simulated_s, real_s, speed_up, .. } = measurement;
    println!("{relays} relays, seed {seed}: {simulated_s:.0} simulated seconds in {real_s:.1} s");
    println!("restarts and failures {speed_up} times as often as on an ordinary day");
    println!("{}", costs(&measurement.roles));
    if let Some(Maintenance { turns, cost }) = &measurement.maintenance {
        println!("maintenance: {turns} turns, {} messages of {} bytes", cost.messages, cost.bytes);
    }
    if measurement.detection.count + measurement.undetected > 0 {
        let found = delays(&measurement.detection);
        println!(
            "dead relays known to all: {found}; not known to all at the end: {}",
            measurement.undetected
        );
    }
    println!("living relays taken for dead, pairs at looks: {}", measurement.false_alarms);
    println!("{} events; waits for a permit: {}", measurement.events, delays(&measurement.permit_wait));
    Ok(())
}

fn delays(delays: &Delays) -> String {
    let Delays { count, p50_us, p99_us, max_us, .. } = delays;
    let [median, most, longest] = [p50_us, p99_us, max_us].map(|us| *us as f64 / 1e3);
    format!("{count}, median {median:.1} ms, 99th percentile {most:.1} ms, longest {longest:.1} ms")
}

fn costs(roles: &[RoleCost]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "role",
        "machines",
        "messages",
        "bytes",
        "bytes/s",
        "busiest",
        "messages/s",
        "% core",
        "MB",
    ]);
    for cost in roles {
        table.add_row([
            format!("{:?}", cost.role),
            cost.machines.to_string(),
            cost.messages.to_string(),
            cost.bytes.to_string(),
            format!("{:.0}", cost.bytes_per_s),
            format!("{:.0}", cost.peak_bytes_per_s),
            format!("{:.1}", cost.messages_per_s),
            format!("{:.3}", cost.cores * 100.0),
            format!("{:.2}", cost.memory_bytes / 1e6),
        ]);
    }
    table
}

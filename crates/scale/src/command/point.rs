//! `scale point`: runs one point of the slopes in a process of its own.
//!
//! Allocations are counted over a whole process, so points that run side by side would count each other's memory.

use std::io::{self, Read, Write};
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use clap::Args;
use scale::Measurement;
use scale::slopes::axis::Conditions;
use scale::slopes::execute::Run;
use scale::slopes::plan::Group;
use scale::slopes::scenario::{PointOutcome, PointScenario};

/// Exit status of a point that its bound of real time ended.
const PARTIAL: u8 = 3;
/// A run looks at its bound only between events; a process that is this much later still is ended.
const GRACE: Duration = Duration::from_secs(3);
/// How often a process is asked whether it has ended.
const POLL: Duration = Duration::from_millis(20);

/// The seed of the point.
#[derive(Debug, Args)]
pub struct PointArgs {
    /// The same seed gives the same counts.
    #[arg(long)]
    seed: u64,
}

/// Runs the scenario on standard input, and writes its measurement as JSON on standard output.
pub fn point(args: &PointArgs) -> anyhow::Result<ExitCode> {
    let scenario: PointScenario = serde_json::from_reader(io::stdin().lock()).context("the scenario")?;
    let (measurement, status) = match scenario.run(args.seed)? {
        PointOutcome::Whole(measurement) => (measurement, ExitCode::SUCCESS),
        PointOutcome::Partial(measurement) => (measurement, ExitCode::from(PARTIAL)),
    };
    serde_json::to_writer(io::stdout().lock(), &measurement)?;
    Ok(status)
}

/// Runs a scenario in a process of its own; what goes wrong becomes a failed or partial run.
pub fn run_in_process(scenario: &PointScenario, group: &Group, conditions: Conditions, seed: u64) -> Run {
    let bound = scenario.bound();
    let begun = Instant::now();
    let ended = start(scenario, seed).and_then(|child| wait(child, begun + bound + GRACE));
    let real = begun.elapsed();
    match ended {
        Ok(Ended { status: Some(status), measurement: Some(measurement), .. }) if status.success() => {
            Run::complete(group, conditions, real, measurement)
        }
        Ok(Ended { status: Some(status), measurement: Some(measurement), .. })
            if status.code() == Some(i32::from(PARTIAL)) =>
        {
            let reached = measurement.simulated_s / scenario.measured_s();
            let reason = format!("ended by its bound of {:.0} s of real time", bound.as_secs_f64());
            Run::partial(group, conditions, real, reached, reason)
        }
        Ok(Ended { status: None, .. }) => {
            let reason = format!("its process was ended {} s after its bound", GRACE.as_secs());
            Run::partial(group, conditions, real, 0.0, reason)
        }
        Ok(Ended { status: Some(status), errors, .. }) => {
            Run::failed(group, conditions, real, format!("{status}: {}", errors.trim()))
        }
        Err(error) => Run::failed(group, conditions, real, format!("{error:#}")),
    }
}

/// How a process ended.
struct Ended {
    /// Nothing if it had to be ended at its deadline.
    status: Option<ExitStatus>,
    measurement: Option<Measurement>,
    errors: String,
}

fn start(scenario: &PointScenario, seed: u64) -> anyhow::Result<Child> {
    let program = std::env::current_exe().context("the path of this program")?;
    let mut command = Command::new(program);
    command.args(["point", "--seed", &seed.to_string()]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().context("starting the process of a point")?;
    let Some(mut input) = child.stdin.take() else { bail!("the process of a point has no standard input") };
    input.write_all(&serde_json::to_vec(scenario)?).context("giving the process of a point its scenario")?;
    Ok(child)
}

/// Waits for the end of a process, and ends it itself at the deadline. Its output is short enough for the pipe.
fn wait(mut child: Child, deadline: Instant) -> anyhow::Result<Ended> {
    let mut status = child.try_wait()?;
    while status.is_none() && Instant::now() < deadline {
        thread::sleep(POLL);
        status = child.try_wait()?;
    }
    if status.is_none() {
        child.kill().context("ending the process of a point")?;
        child.wait()?;
    }
    let (mut output, mut errors) = (Vec::new(), String::new());
    if let Some(mut stream) = child.stdout.take() {
        stream.read_to_end(&mut output)?;
    }
    if let Some(mut stream) = child.stderr.take() {
        stream.read_to_string(&mut errors)?;
    }
    let measurement = serde_json::from_slice(&output).ok();
    Ok(Ended { status, measurement, errors })
}

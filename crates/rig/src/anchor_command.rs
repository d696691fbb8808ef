//! `rig anchor` on the command line: which sizes are measured, and what is shown of them.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use clap::Args;
use rig::anchor::comparison::{compare, read_records};
use rig::anchor::measurement::{AnchorMeasurement, measurements};
use rig::anchor::plan::{Plan, RoleSettings};
use rig::anchor::run::{RunUsage, run};
use rig::anchor::table;
use rig::play::Build;
use rig::scenario::Scenario;
use scale::measurement::Measurement;

/// Exit status where the machine did not keep up.
const DID_NOT_KEEP_UP: u8 = 3;

/// What is measured, and how it is shown.
#[derive(Args)]
pub struct AnchorArgs {
    /// The scenario, with an [anchor] table
    #[arg(default_value = "crates/rig/scenarios/anchor.toml")]
    file: PathBuf,
    /// Relays, of the sizes that the scenario has; all of these where none is given
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// What is drawn comes of it
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Idle seconds that are measured, in place of the scenario's
    #[arg(long)]
    idle_s: Option<f64>,
    /// Seconds between the start and the idle period, in place of the scenario's
    #[arg(long)]
    settle_s: Option<f64>,
    /// Seconds of load, in place of the scenario's; what is measured begins within them
    #[arg(long)]
    load_s: Option<f64>,
    /// The relay's program
    #[arg(long, default_value = "target/release/tulipfall")]
    program: PathBuf,
    /// Where configurations and logs are left
    #[arg(long, default_value = "target/rig/anchor")]
    folder: PathBuf,
    /// A JSON object a line for each measurement, in place of the table
    #[arg(long)]
    json: bool,
    /// What an earlier run wrote with --json; nothing is measured
    #[arg(long, value_name = "FILE.json", conflicts_with_all = ["sizes", "idle_s", "settle_s", "load_s"])]
    measured: Option<PathBuf>,
    /// What hollow relays measured (`scale run --json`): shown beside, with differences over a fifth marked
    #[arg(long, value_name = "FILE.json", conflicts_with = "json")]
    compare: Option<PathBuf>,
}

/// Measures, or reads what was measured, and shows it.
///
/// # Errors
/// Where a file makes no sense, or a fleet does not start.
pub fn anchor(args: &AnchorArgs) -> Result<u8> {
    // A file that makes no sense is to be known before minutes are spent.
    let hollow = args.compare.as_deref().map(read_records::<Measurement>).transpose()?;
    let measured = match &args.measured {
        Some(file) => read_records(file)?,
        None => measure(args)?,
    };
    if !args.json {
        println!("{}", table::measured(&measured));
    }
    if let Some(hollow) = hollow {
        println!("{}", table::compared(&compare(&measured, &hollow)));
    }
    let kept_up = measured.iter().all(AnchorMeasurement::kept_up);
    Ok(if kept_up { 0 } else { DID_NOT_KEEP_UP })
}

fn measure(args: &AnchorArgs) -> Result<Vec<AnchorMeasurement>> {
    let name = args.file.display().to_string();
    let (scenario, plan) = load(args).context(name.clone())?;
    if !args.program.exists() {
        bail!("{}: there is no program; build it first", args.program.display());
    }
    let all_sizes = plan.sizes.iter().map(|size| size.relays).collect();
    let sizes = if args.sizes.is_empty() { all_sizes } else { args.sizes.clone() };
    // All of them make sense before the first is measured.
    let sized: Result<Vec<Scenario>> = sizes.iter().map(|relays| plan.scenario(&scenario, *relays)).collect();
    let mut measured = Vec::new();
    for scenario in sized.context(name)? {
        let of_size = measure_size(args, &plan, &scenario)?;
        if args.json {
            for measurement in &of_size {
                println!("{}", serde_json::to_string(measurement)?);
            }
        }
        measured.extend(of_size);
    }
    Ok(measured)
}

/// The scenario and its plan, with what the command line says in place of it.
fn load(args: &AnchorArgs) -> Result<(Scenario, Plan)> {
    let text = std::fs::read_to_string(&args.file)?;
    let scenario = Scenario::read(&text)?;
    let seconds = args.load_s.unwrap_or(scenario.seconds);
    let scenario = scenario.lasting(seconds)?;
    let mut plan = scenario.anchor.clone().context("anchor: the scenario has no such table")?;
    plan.idle_s = args.idle_s.unwrap_or(plan.idle_s);
    plan.settle_s = args.settle_s.unwrap_or(plan.settle_s);
    plan.check(scenario.seconds)?;
    Ok((scenario, plan))
}

fn measure_size(args: &AnchorArgs, plan: &Plan, scenario: &Scenario) -> Result<Vec<AnchorMeasurement>> {
    let mut runs = Vec::new();
    for settings in RoleSettings::ALL {
        runs.push((settings, measure_settings(args, plan, scenario, settings)?));
    }
    measurements(scenario, args.seed, &runs)
}

fn measure_settings(
    args: &AnchorArgs, plan: &Plan, scenario: &Scenario, settings: RoleSettings,
) -> Result<RunUsage> {
    eprintln!("rig: anchor, {} relays, {}", scenario.relays, settings.name());
    let build = Build::of(args.program.clone(), settings.environment());
    let folder = folder_of(&args.folder, scenario.relays, settings);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let usage = runtime.block_on(run(scenario.clone(), plan, args.seed, &build, &folder));
    // Whatever stand-in is still waiting for something ends with it.
    runtime.shutdown_background();
    usage.with_context(|| folder.display().to_string())
}

fn folder_of(folder: &Path, relays: usize, settings: RoleSettings) -> PathBuf {
    folder.join(format!("{relays}-{}", settings.name()))
}

//! `rig soak`: seeded runs of the soak, one line each, and each finding with the command that plays it again.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use rig::soak::{SoakFile, SoakOutcome, run as run_seed};
use rig::stage::Build;

/// Findings of one rule that are told in full.
const MAX_TOLD: usize = 3;

/// One run in so many may be one in which the machine did not keep up.
const SLOW_PART: u64 = 10;

/// A seed is run so often again in which the machine did not keep up.
const RUNS_AGAIN: u32 = 2;

/// Arguments of `rig soak`.
#[derive(Args)]
pub struct SoakArgs {
    /// The soak's file, e.g. crates/rig/soak/mixed.toml
    file: PathBuf,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after the other
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The relay's program
    #[arg(long, default_value = "target/release/tulipfall")]
    program: PathBuf,
    /// Where logs are left, a folder for each seed
    #[arg(long, default_value = "target/rig/soak")]
    folder: PathBuf,
    /// Each outcome as a JSON object a line
    #[arg(long)]
    json: bool,
}

/// Runs the seeds. Exit status: 0 no finding; 1 findings; 3 the machine did not keep up in more than one run of ten.
pub fn run(args: &SoakArgs) -> Result<u8> {
    let file = SoakFile::load(&args.file)?;
    let build = Build::of(args.program.clone(), Vec::new());
    let (mut failed, mut slow) = (Vec::new(), Vec::new());
    let mut faults: BTreeMap<String, u64> = BTreeMap::new();
    for seed in args.seed..args.seed + args.seeds {
        let outcome = run_until_it_counts(args, &file, seed, &build)?;
        for (fault, count) in &outcome.faults {
            *faults.entry(fault.clone()).or_default() += count;
        }
        if !outcome.kept_up {
            slow.push(seed);
        } else if !outcome.findings.is_empty() {
            failed.push(seed);
        }
    }
    println!("faults made: {faults:?}");
    println!("soak: {} seeds from {}, failed {failed:?}, machine too slow {slow:?}", args.seeds, args.seed);
    // A run in which the machine did not keep up shows nothing; too many of these are no pass.
    let shown = slow.len() as u64 * SLOW_PART <= args.seeds;
    Ok(match (failed.is_empty(), shown) {
        (false, _) => 1,
        (true, false) => 3,
        (true, true) => 0,
    })
}

/// Runs a seed, and up to twice more where the machine did not keep up: such a run shows nothing.
fn run_until_it_counts(args: &SoakArgs, file: &SoakFile, seed: u64, build: &Build) -> Result<SoakOutcome> {
    for _ in 0..RUNS_AGAIN {
        let outcome = run_once(args, file, seed, build)?;
        if outcome.kept_up {
            return Ok(outcome);
        }
        println!("  the machine did not keep up; seed {seed} is run again");
    }
    run_once(args, file, seed, build)
}

fn run_once(args: &SoakArgs, file: &SoakFile, seed: u64, build: &Build) -> Result<SoakOutcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let folder = args.folder.join(seed.to_string());
    let outcome = runtime.block_on(run_seed(file, seed, build, &folder))?;
    runtime.shutdown_background();
    print(args, &outcome)?;
    Ok(outcome)
}

fn print(args: &SoakArgs, outcome: &SoakOutcome) -> Result<()> {
    if args.json {
        println!("{}", serde_json::to_string(outcome)?);
        return Ok(());
    }
    let SoakOutcome { seed, relays, kinds, messages, starts, findings, lag_ms, .. } = outcome;
    let made: u64 = outcome.faults.values().sum();
    println!(
        "seed {seed}: {relays} relays, {starts} starts, {made} faults of {}; messages {messages:?}, lag {lag_ms} ms, \
         findings {}",
        kinds.join(" "),
        findings.len()
    );
    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    for finding in findings {
        let count = told.entry(finding.rule).or_default();
        *count += 1;
        if *count <= MAX_TOLD {
            println!("  {}: {}", finding.rule, finding.trace);
        }
    }
    told.iter().for_each(|(rule, count)| println!("  {count} times: {rule}"));
    if !findings.is_empty() {
        println!(
            "  again: rig soak {} --seed {seed} --program {}",
            args.file.display(),
            args.program.display()
        );
    }
    Ok(())
}

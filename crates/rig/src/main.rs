//! The command line of the rig.

mod anchor_command;
mod soak_command;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand};
use rig::play::{Build, Outcome, play};
use rig::report::{Lines, html};
use rig::scenario::Scenario;

/// Plays scenarios of many relays as processes, with faults between them, on loopback alone.
///
/// Exit status: 0 every bound held; 1 a rule or a bound did not; 2 the command line, a file or a start was at fault;
/// 3 the machine could not keep up, and the play does not count.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario, e.g. `rig play crates/rig/scenarios/halves.toml --seed 1`
    Play {
        /// The scenario
        file: PathBuf,
        /// What is drawn comes of it
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// So many relays in place of the scenario's; faults name the same part of them
        #[arg(long)]
        relays: Option<usize>,
        /// The relay's program
        #[arg(long, default_value = "target/release/tulipfall")]
        program: PathBuf,
        /// A variable of the relays' environment, e.g. TULIPFALL_PERMITS=parts
        #[arg(long = "env", value_name = "KEY=VALUE", value_parser = variable)]
        environment: Vec<(String, String)>,
        /// A build from before, which the last relays run
        #[arg(long, requires = "older_relays")]
        older: Option<PathBuf>,
        /// So many of them
        #[arg(long, requires = "older", default_value_t = 0)]
        older_relays: usize,
        /// Where logs and lines are left
        #[arg(long, default_value = "target/rig/play")]
        folder: PathBuf,
        /// The outcome as one JSON object in place of the table
        #[arg(long)]
        json: bool,
    },
    /// Runs relays under faults of system calls, disk and clock, by seeds, and judges them from outside
    Soak(soak_command::SoakArgs),
    /// Names the scenarios of a folder and what each shows
    List {
        /// The folder
        #[arg(default_value = "crates/rig/scenarios")]
        folder: PathBuf,
    },
    /// Reads scenarios and names the first thing that makes no sense, by file, line and key
    Check {
        /// The files
        files: Vec<PathBuf>,
    },
    /// Plays scenarios at several sizes and seeds, and prints a row of a table as each is done
    Table {
        /// The scenarios
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Relays
        #[arg(long, value_delimiter = ',', default_value = "3,12,30")]
        sizes: Vec<usize>,
        /// Seeds, from 1 on
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// The relay's program
        #[arg(long, default_value = "target/release/tulipfall")]
        program: PathBuf,
        /// A variable of the relays' environment
        #[arg(long = "env", value_name = "KEY=VALUE", value_parser = variable)]
        environment: Vec<(String, String)>,
        /// Where logs and lines are left
        #[arg(long, default_value = "target/rig/table")]
        folder: PathBuf,
    },
    /// Draws what a play left as one HTML page with plots
    Report {
        /// The scenario that was played
        file: PathBuf,
        /// What the play left
        #[arg(long, default_value = "target/rig/play/lines.jsonl")]
        lines: PathBuf,
        /// The page
        #[arg(long, default_value = "target/rig/play/report.html")]
        page: PathBuf,
    },
    /// Measures what control costs in real processes, by role, beside what hollow relays say at the same sizes
    Anchor(anchor_command::AnchorArgs),
    /// Plays two builds in pairs on the same seeds, and prints medians and spread of each phase
    Compare {
        /// The scenario
        file: PathBuf,
        /// The build before
        before: PathBuf,
        /// The build after
        after: PathBuf,
        /// A variable of the relays' environment in the build before
        #[arg(long, value_name = "KEY=VALUE", value_parser = variable)]
        before_env: Vec<(String, String)>,
        /// And in the build after
        #[arg(long, value_name = "KEY=VALUE", value_parser = variable)]
        after_env: Vec<(String, String)>,
        /// Seeds, from 1 on
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Where logs and lines are left
        #[arg(long, default_value = "target/rig/compare")]
        folder: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("rig: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<u8> {
    match command {
        Command::Soak(args) => soak_command::run(&args),
        Command::Play { file, seed, relays, program, environment, older, older_relays, folder, json } => {
            let older = older.map(|older| (older, older_relays));
            let build = Build { older, ..Build::of(program, environment) };
            let outcome = one((&file, relays), seed, &build, &folder)?;
            if json {
                println!("{}", serde_json::to_string(&outcome)?);
            } else {
                table(&outcome);
            }
            println!("{}", last_line(&file, &outcome));
            Ok(match () {
                () if !outcome.kept_up => 3,
                () => u8::from(!outcome.held()),
            })
        }
        Command::List { folder } => {
            for file in scenarios(&folder)? {
                println!("{:24} {}", name(&file), Scenario::load(&file)?.about);
            }
            Ok(0)
        }
        Command::Check { files } => {
            files.iter().try_for_each(|file| Scenario::load(file).map(drop))?;
            Ok(0)
        }
        Command::Table { files, sizes, seeds, program, environment, folder } => {
            let build = Build::of(program, environment);
            println!(
                "| scenario, phase | relays | delivered of limit | refused/s | most | trials | broken |"
            );
            println!("| --- | --- | --- | --- | --- | --- | --- |");
            for (file, size) in files.iter().flat_map(|file| sizes.iter().map(move |size| (file, *size))) {
                rows(file, size, seeds, &build, &folder)?;
            }
            Ok(0)
        }
        Command::Report { file, lines, page } => {
            let text = std::fs::read_to_string(&lines).with_context(|| lines.display().to_string())?;
            let left = Lines::read(&text).with_context(|| lines.display().to_string())?;
            std::fs::write(&page, html(&Scenario::load(&file)?, &left)?)
                .with_context(|| page.display().to_string())?;
            println!("{}", page.display());
            Ok(0)
        }
        Command::Anchor(args) => anchor_command::anchor(&args),
        Command::Compare { file, before, after, before_env, after_env, seeds, folder } => {
            let before = Build::of(before, before_env);
            let after = Build::of(after, after_env);
            compare(&file, [&before, &after], seeds, &folder)?;
            Ok(0)
        }
    }
}

/// A variable and its value, as the command line gives them.
fn variable(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok((key.into(), value.into()))
}

fn scenarios(folder: &Path) -> Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    Ok(files)
}

fn name(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn one((file, relays): (&Path, Option<usize>), seed: u64, build: &Build, folder: &Path) -> Result<Outcome> {
    let scenario = Scenario::load(file)?;
    let scenario = match relays {
        Some(relays) => scenario.resized(relays).with_context(|| file.display().to_string())?,
        None => scenario,
    };
    if !build.program.exists() {
        bail!("{}: there is no program; build it first", build.program.display());
    }
    eprintln!("rig: {} seed {seed}: {} relays, {} s", name(file), scenario.relays, scenario.seconds);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (outcome, book) = runtime.block_on(play(scenario, seed, build, folder))?;
    // Whatever stand-in is still waiting for something ends with it.
    runtime.shutdown_background();
    let mut lines = std::io::BufWriter::new(std::fs::File::create(folder.join("lines.jsonl"))?);
    book.with(|log| -> Result<()> {
        for call in &log.calls {
            writeln!(lines, "{}", serde_json::json!({"call": call}))?;
        }
        for notice in &log.notices {
            writeln!(lines, "{}", serde_json::json!({"notice": notice}))?;
        }
        for (id, sent) in &log.sent {
            writeln!(lines, "{}", serde_json::json!({"sent": sent, "id": id}))?;
        }
        for down in &log.downs {
            writeln!(lines, "{}", serde_json::json!({"down": down}))?;
        }
        Ok(())
    })?;
    writeln!(lines, "{}", serde_json::json!({"outcome": outcome}))?;
    lines.flush()?;
    Ok(outcome)
}

fn table(outcome: &Outcome) {
    println!(
        "{:12} {:>10} {:>9} {:>10} {:>7} {:>7} {:>7} {:>8} {:>6} {:>13} {:>12} {:>12} {:>12} {:>6}",
        "phase",
        "delivered",
        "of limit",
        "refused/s",
        "most",
        "trials",
        "away",
        "given up",
        "worth",
        "told s 50/90",
        "charges lost",
        "again/taken",
        "first/more",
        "calls"
    );
    for f in &outcome.verdict.phases {
        println!(
            "{:12} {:>8.1}/s {:>9.2} {:>10.2} {:>7.2} {:>7} {:>7} {:>8} {:>6.2} {:>6.2}/{:<6.2} {:>6}/{:<5} {:>6}/{:<5} {:>6}/{:<5} {:>6.2}",
            f.phase,
            f.delivered_per_s,
            f.delivered,
            f.refused_per_s,
            f.most_calls,
            f.trials,
            f.turned_away,
            f.given_up,
            f.worth,
            f.told_s[0],
            f.told_s[1],
            f.charges_lost[0],
            f.charges_lost[1],
            f.came_back[0],
            f.came_back[1],
            f.calls_made[0],
            f.calls_made[1],
            f.calls
        );
    }
    for finding in &outcome.verdict.findings {
        println!("BROKEN {}: {}", finding.rule, finding.trace);
    }
    outcome.verdict.missed.iter().for_each(|missed| println!("MISSED {missed}"));
}

fn last_line(file: &Path, outcome: &Outcome) -> String {
    let verdict = &outcome.verdict;
    let [sent, taken, delivered] = verdict.messages;
    format!(
        "rig {} seed={} sent={sent} taken={taken} delivered={delivered} worth={:.3} broken={} missed={} late={} \
         told_s={:.2} calls={:.3} notes={} bytes={} lag_ms={} {}",
        name(file),
        outcome.seed,
        verdict.worth,
        verdict.findings.len(),
        verdict.missed.len(),
        verdict.late,
        verdict.told_after_s,
        verdict.calls_per_delivery,
        outcome.notes,
        outcome.note_bytes,
        outcome.lag_ms,
        match () {
            () if !outcome.kept_up => "DID NOT KEEP UP",
            () if outcome.held() => "held",
            () => "NOT HELD",
        }
    )
}

/// A row for each phase: the median over seeds, and the spread where there is more than one.
fn rows(file: &Path, size: usize, seeds: u64, build: &Build, folder: &Path) -> Result<()> {
    let mut outcomes = Vec::new();
    for seed in 1..=seeds {
        let outcome = one((file, Some(size)), seed, build, folder)?;
        // What the machine could not keep up with does not count.
        outcomes.extend(outcome.kept_up.then_some(outcome));
    }
    let phases = outcomes.first().map_or(0, |outcome| outcome.verdict.phases.len());
    let broken: usize = outcomes.iter().map(|outcome| outcome.verdict.findings.len()).sum();
    for phase in 0..phases {
        let of = |read: fn(&rig::audit::Figures) -> f64| {
            let figures = outcomes.iter().filter_map(|outcome| outcome.verdict.phases.get(phase));
            let mut all: Vec<f64> = figures.map(read).collect();
            all.sort_by(f64::total_cmp);
            let at = |n: usize| all.get(n).copied().unwrap_or(f64::NAN);
            match all.len() {
                0 | 1 => format!("{:.2}", at(0)),
                n => format!("{:.2} ({:.2} to {:.2})", at(n / 2), at(0), at(n - 1)),
            }
        };
        let label = outcomes[0].verdict.phases.get(phase).map_or("", |figures| figures.phase.as_str());
        println!(
            "| {}, {label} | {size} | {} | {} | {} | {} | {broken} |",
            name(file),
            of(|f| f.delivered),
            of(|f| f.refused_per_s),
            of(|f| f.most_calls),
            of(|f| f.trials as f64)
        );
    }
    if outcomes.is_empty() {
        println!("| {} | {size} | did not keep up | | | | |", name(file));
    }
    Ok(())
}

fn compare(file: &Path, builds: [&Build; 2], seeds: u64, folder: &Path) -> Result<()> {
    let mut outcomes: [Vec<Outcome>; 2] = [vec![], vec![]];
    for seed in 1..=seeds {
        for ((build, outcomes), side) in builds.iter().zip(&mut outcomes).zip(["before", "after"]) {
            let outcome = one((file, None), seed, build, &folder.join(side))?;
            println!("{side:6} {}", last_line(file, &outcome));
            outcomes.push(outcome);
        }
    }
    let phases = outcomes[0].first().map_or(0, |outcome| outcome.verdict.phases.len());
    println!("{:12} {:20} {:>24} {:>24}", "phase", "figure", "before", "after");
    type Read = fn(&rig::audit::Figures) -> f64;
    let figures: [(&str, Read); 11] = [
        ("delivered of limit", |f| f.delivered),
        ("refused a second", |f| f.refused_per_s),
        ("most calls of limit", |f| f.most_calls),
        ("trials", |f| f.trials as f64),
        ("worth of oracle", |f| f.worth),
        ("told, median s", |f| f.told_s[0]),
        ("turned away", |f| f.turned_away as f64),
        ("taken of who came back", |f| f.came_back[1] as f64 / f64::max(f.came_back[0] as f64, 1.0)),
        ("charges passed over", |f| f.charges_lost[1] as f64),
        ("calls a delivery", |f| f.calls),
        ("further calls", |f| f.calls_made[1] as f64),
    ];
    for phase in 0..phases {
        for (label, read) in &figures {
            let spread = outcomes.each_ref().map(|outcomes| {
                let of = outcomes.iter().filter_map(|outcome| outcome.verdict.phases.get(phase));
                let mut all: Vec<f64> = of.map(read).collect();
                all.sort_by(f64::total_cmp);
                let at = |n: usize| all.get(n).copied().unwrap_or(f64::NAN);
                format!("{:.2} ({:.2} to {:.2})", at(all.len() / 2), at(0), at(all.len().saturating_sub(1)))
            });
            let name = outcomes[0][0].verdict.phases.get(phase).map_or("", |f| f.phase.as_str());
            println!("{name:12} {label:20} {:>24} {:>24}", spread[0], spread[1]);
        }
    }
    Ok(())
}

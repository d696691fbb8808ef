//! The command line of the scale harness.
#![forbid(unsafe_code)]

mod command;

use std::alloc::System;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts what is allocated, so that a run can tell the memory of its relays.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs the control cores of many relays in simulated time, and measures how their cost grows.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one scenario, and prints what it measured. Ends with status 3 where its real-time bound ended it.
    Run(command::run::RunArgs),
    /// Distributes configuration changes to many relays, and prints what that measured.
    Rollout(command::rollout::RolloutArgs),
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Run(args) => command::run::run(&args),
        Command::Rollout(args) => command::rollout::run(&args),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("scale: {error:#}");
        ExitCode::FAILURE
    })
}

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
    /// Measures how costs grow with each size of the fleet, and predicts them for the coming size.
    Slopes(command::slopes::SlopesArgs),
    /// Puts the figures of a file of slopes in the place of the marked figures of a page.
    Page(command::page::PageArgs),
    /// Writes tables and plots of a file of slopes.
    Report(command::report::ReportArgs),
    /// Runs one point of the slopes in a process of its own: the scenario as JSON comes on standard input.
    #[command(hide = true)]
    Point(command::point::PointArgs),
    /// Distributes configuration changes to many relays, and prints what that measured.
    Rollout(command::rollout::RolloutArgs),
    /// Runs days on which something fails or much changes at once, and prints how long until all is as before.
    Days(command::days::DaysArgs),
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Run(args) => command::run::run(&args),
        Command::Slopes(args) => command::slopes::slopes(&args),
        Command::Page(args) => command::page::page(&args),
        Command::Report(args) => command::report::report(&args),
        Command::Point(args) => command::point::point(&args),
        Command::Rollout(args) => command::rollout::run(&args),
        Command::Days(args) => command::days::days(&args),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("scale: {error:#}");
        ExitCode::FAILURE
    })
}

//! The program `tulipfall-control`: one process is one control machine.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use control::shell::config::Config;
use control::shell::daemon;

/// A control machine of tulipfall: agrees with the others on the changes of the destination set, and publishes them.
#[derive(Parser)]
#[command(version, after_help = "Exit status: 0 it was told to stop; 1 it cannot start or go on.")]
struct Cli {
    /// The file of this machine
    #[arg(value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipfall-control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::read(&cli.config)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(daemon::run(config))?;
    Ok(())
}

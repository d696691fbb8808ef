//! The program `tulipfall-control`: one process is one control machine.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use control::shell::config::{Config, read_signing_key};
use control::shell::daemon;
use tokio::runtime::Builder;
use transient::retry_transient_blocking;

/// A control machine of tulipfall: agrees with the others on the changes of the destination set, and publishes them.
#[derive(Parser)]
#[command(version, after_help = "Exit status: 0 it was told to stop; 1 it cannot start or go on.")]
struct Cli {
    /// The file of this machine
    #[arg(value_name = "FILE", required_unless_present = "public_key")]
    config: Option<PathBuf>,
    /// Prints the public key of a key that signs changes, for configuration.keys, and ends
    #[arg(long, value_name = "KEY_FILE", conflicts_with = "config")]
    public_key: Option<PathBuf>,
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
    if let Some(file) = &cli.public_key {
        println!("{}", hex::encode(read_signing_key(file)?.verifying_key().to_bytes()));
    }
    let Some(file) = &cli.config else { return Ok(()) };
    let config = retry_transient_blocking("configuration", || Config::read(file))?;
    let runtime =
        retry_transient_blocking("event loop", || Builder::new_current_thread().enable_all().build())?;
    runtime.block_on(daemon::run(config))?;
    Ok(())
}

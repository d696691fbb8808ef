//! The program `tulipfall`: runs a relay, and provides the command-line tools for configurations, running relays and the record.
//!
//! This module parses the command line and sets up logging.

mod command;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use command::{Failure, control, peers, record, run, turns};
use tulipfall::config::{Config, template};

/// A message relay: accepts messages from clients and delivers each to an endpoint of its destination
///
/// Without a subcommand, it runs one relay on the platform, with the configuration file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 success; 1 the command failed; 2 the command line is invalid; \
3 the command succeeded, and found something that needs attention."
)]
struct Cli {
    /// Log filter: a level (error, warn, info, debug, trace), or levels by module, such as
    /// "info,tulipfall::as2=debug,record=debug"
    #[arg(long, global = true, env = "TULIPFALL_LOG", default_value = "info", value_name = "LEVELS")]
    log: String,
    /// Format of the log
    #[arg(long, global = true, env = "TULIPFALL_LOG_FORMAT", default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    /// Human-readable lines
    Text,
    /// One JSON object per line, with message, attempt and destination as fields
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one relay
    Run {
        /// An operator's configuration file; without it, PROXY_CONFIG names the platform's
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Writes and checks configurations
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Shows the membership state of the other relays, as a running relay sees it
    Peers {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows a running relay's observations of destinations, with their source and weight
    Facts {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows, for each destination that the relay coordinates, the messages waiting at all relays and the cutoff priority
    Overload {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows the retry budget that the fleet shares, by destination
    Repeats {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Requests to take a relay out of service for maintenance; the fleet schedules it
    Out(turns::DrainArgs),
    /// Returns a relay to service before its process has ended for maintenance
    Back(control::Socket),
    /// Withdraws a maintenance request; a relay already out of service returns
    Abort(turns::RelayArgs),
    /// Maintenance and shared limits of the whole fleet, and its destination set
    #[command(subcommand)]
    Fleet(turns::FleetCommand),
    /// Queries and maintains the record of outcomes
    #[command(subcommand)]
    Record(Box<record::RecordCommand>),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Writes a configuration for an application; an existing file is never overwritten
    Init {
        /// Name of the application: letters, digits, - and _
        application: String,
        /// The file to write [default: APPLICATION.toml]
        file: Option<PathBuf>,
    },
    /// Checks configurations, and names the first invalid key of each
    Check {
        /// The files to check
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn environment(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let levels: Targets = match cli.log.parse() {
        Ok(levels) => levels,
        Err(error) => {
            eprintln!("tulipfall: --log {:?}: {error}", cli.log);
            return ExitCode::from(2);
        }
    };
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let log = tracing_subscriber::registry().with(levels);
    match cli.log_format {
        LogFormat::Text => log.with(lines).init(),
        LogFormat::Json => log.with(lines.json()).init(),
    }
    let result = match cli.command {
        None | Some(Command::Run { config: None }) => run::start(|reload| match reload {
            // The environment dates from the start, so at a reload the address of discovery comes from the file.
            true => Config::load(|variable| environment(variable).filter(|_| variable != "PROXY_DISCOVERY")),
            false => Config::load(environment),
        })
        .map(|()| ExitCode::SUCCESS),
        Some(Command::Run { config: Some(file) }) => {
            run::start(|_| Config::load_file(&file, environment)).map(|()| ExitCode::SUCCESS)
        }
        Some(Command::Config(ConfigCommand::Init { application, file })) => {
            let file = file.unwrap_or_else(|| format!("{application}.toml").into());
            init(&application, &file).map(|()| ExitCode::SUCCESS)
        }
        Some(Command::Config(ConfigCommand::Check { files })) => check(&files).map(|()| ExitCode::SUCCESS),
        Some(Command::Peers { command: peers::Show::Show(socket) }) => peers::show(&socket, "peers"),
        Some(Command::Facts { command: peers::Show::Show(socket) }) => peers::show(&socket, "facts"),
        Some(Command::Overload { command: peers::Show::Show(socket) }) => peers::show(&socket, "overload"),
        Some(Command::Repeats { command: peers::Show::Show(socket) }) => peers::show(&socket, "repeats"),
        Some(Command::Out(out)) => turns::out(&out),
        Some(Command::Back(socket)) => turns::back(&socket),
        Some(Command::Abort(one)) => turns::abort(&one),
        Some(Command::Fleet(command)) => turns::fleet(&command),
        Some(Command::Record(command)) => record::run(*command),
    };
    result.unwrap_or_else(|error| {
        // If standard error cannot be written, the exit status still reports the failure.
        let _ = writeln!(std::io::stderr(), "tulipfall: {error}");
        ExitCode::FAILURE
    })
}

fn init(application: &str, file: &Path) -> Result<(), Failure> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if application.is_empty() || !application.chars().all(plain) {
        return Err(format!("application {application:?}: expected letters, digits, - and _").into());
    }
    // An existing file is never overwritten, because an operator may have changed it.
    let mut file = std::fs::File::create_new(file).map_err(|error| format!("{}: {error}", file.display()))?;
    std::io::Write::write_all(&mut file, template(application).as_bytes())?;
    Ok(())
}

fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let mut wrong = 0;
    for file in files {
        match Config::load_file(file, environment) {
            Ok(config) => println!("{}: {} can be used", file.display(), config.name),
            Err(error) => {
                println!("{}: {error}", file.display());
                wrong += 1;
            }
        }
    }
    if wrong == 0 { Ok(()) } else { Err(format!("{wrong} of {} cannot be used", files.len()).into()) }
}

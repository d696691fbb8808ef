//! The program: one relay, and the tool that writes and checks configurations and asks the record. Owns the
//! command line and the log. It must never decide anything about a message.

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

/// A message relay: takes messages from clients and delivers each to an endpoint of its destination.
///
/// Without a sub-command it runs one relay on the platform, by the file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 all is well; 1 it could not be done; 2 the command line is wrong; \
3 it was done, and something was found that wants a look."
)]
struct Cli {
    /// What is logged: a level (error, warn, info, debug, trace), or levels by module, such as
    /// "info,tulipfall::as2=debug,record=debug"
    #[arg(long, global = true, env = "TULIPFALL_LOG", default_value = "info", value_name = "LEVELS")]
    log: String,
    /// How a line of the log is written
    #[arg(long, global = true, env = "TULIPFALL_LOG_FORMAT", default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    /// A line to read
    Text,
    /// A JSON object a line, with message, attempt and destination as fields
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one relay
    Run {
        /// An operator's file; without it PROXY_CONFIG names the platform's
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Writes and checks configurations
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Shows who of the other relays is there, as a running relay sees it
    Peers {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows what a running relay knows of destinations, from whom, and how far it believes it
    Facts {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows, for each destination of which the relay is the steward, what waits at all relays and the cut: what has to wait
    Overload {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Shows the budget for repeats that the fleet shares, by destination
    Repeats {
        #[command(subcommand)]
        command: peers::Show,
    },
    /// Wishes a relay out for work; the fleet settles when
    Out(turns::DrainArgs),
    /// Brings back a relay that is out, before its process ended
    Back(control::Socket),
    /// Gives up a wish to go out; one that is out already comes back
    Abort(turns::RelayArgs),
    /// Turns and shared limits of the whole fleet
    #[command(subcommand)]
    Fleet(turns::FleetCommand),
    /// Asks and looks after the record of final answers
    #[command(subcommand)]
    Record(Box<record::RecordCommand>),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Writes a configuration for an application, never over a file that is there
    Init {
        /// The application: letters, digits, - and _
        application: String,
        /// The file; APPLICATION.toml without it
        file: Option<PathBuf>,
    },
    /// Tells whether configurations can be used, and names the first key that stands against it
    Check {
        /// The files
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
        None | Some(Command::Run { config: None }) => run::start(|again| match again {
            // The environment is the start's: from then on the file that was replaced tells where discovery is.
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
        Some(Command::Record(command)) => record::carry_out(*command),
    };
    result.unwrap_or_else(|error| {
        // Where standard error cannot be written, the exit status still tells.
        let _ = writeln!(std::io::stderr(), "tulipfall: {error}");
        ExitCode::FAILURE
    })
}

fn init(application: &str, file: &Path) -> Result<(), Failure> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if application.is_empty() || !application.chars().all(plain) {
        return Err(format!("application {application:?}: expected letters, digits, - and _").into());
    }
    // Never over a file that is there: an operator may have changed it.
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

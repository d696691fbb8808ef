//! The command line of the proofs.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use proofs::Failure;
use proofs::record::{Backend, Run};

/// Runs what has to be shown, on this machine alone.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Kills relays and database under load, and holds the record against what partners and clients noted.
    /// Exit status 0 only if nothing disagrees, took effect twice, or is lost
    Record {
        /// Which database
        #[arg(long)]
        backend: Backend,
        /// Kills; some 40 a minute
        #[arg(long, default_value_t = 40)]
        kills: u32,
        /// What is drawn comes of it
        #[arg(long)]
        seed: u64,
        /// Builds the relay with its order of writes broken, to show that the proof finds it
        #[arg(long)]
        broken_order: bool,
        /// Where files are left
        #[arg(long, default_value = "target/proofs/record")]
        folder: PathBuf,
    },
    /// A tier of many relays in simulated time: how long until a starter knows what matters, and what it costs
    Tier {
        /// Relays
        #[arg(long, default_value_t = 50)]
        relays: usize,
        /// Destinations
        #[arg(long, default_value_t = 2000)]
        destinations: i64,
        /// The part of the notes that is lost
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// What is drawn comes of it
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A relay's budget
        #[arg(long, default_value_t = 4000)]
        bytes_per_s: u32,
    },
    /// Three relays, partners that fail by a script, one relay killed and started with what its peers know and
    /// without. Exit status 0 only if no rule is broken, nothing pushed over, and the warm start is not worse
    WarmStart {
        /// The scripts come of it
        #[arg(long)]
        seed: u64,
        /// Pairs, half a minute each
        #[arg(long, default_value_t = 3)]
        pairs: u32,
        /// The part of the notes that is lost
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// What one more peer says of all partners
        #[arg(long, default_value = "none")]
        lie: proofs::warm_start::Lie,
        /// Where files are left
        #[arg(long, default_value = "target/proofs/warm-start")]
        folder: PathBuf,
    },
    /// Fills the relay's journal with messages that are held, and prints what each costs: disk, memory, a write, a replay
    Backlog {
        /// Messages held
        #[arg(long, default_value_t = 100_000)]
        messages: u64,
        /// Bytes of each body
        #[arg(long, default_value_t = 300)]
        body: usize,
        /// The journal's folder, which is removed before and after
        #[arg(long, default_value = "target/proofs/backlog")]
        folder: PathBuf,
    },
    /// Fills a record in SQLite and times questions to it
    Query {
        /// Messages in it
        #[arg(long, default_value_t = 10_000_000)]
        rows: u64,
        /// The file, which is removed before and after
        #[arg(long, default_value = "target/proofs/query.sqlite")]
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("proofs: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(act(Cli::parse().command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("proofs: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn act(command: Command) -> Result<bool, Failure> {
    match command {
        Command::Record { backend, kills, seed, broken_order, folder } => {
            let run = Run { backend, kills, seed, broken_order, folder };
            let counted = proofs::record::run(&run).await?;
            eprintln!("of what is in doubt, {} did take effect", counted.in_doubt_took);
            println!("{counted}");
            Ok(counted.clean())
        }
        Command::Tier { relays, destinations, loss, seed, bytes_per_s } => {
            let messages_per_s = 50.0;
            let tier = proofs::tier::Tier { relays, destinations, loss, seed, bytes_per_s, messages_per_s };
            let counted = proofs::tier::run(&tier);
            println!("{counted:#?}");
            Ok(counted.known_ms[1].is_some())
        }
        Command::WarmStart { seed, pairs, loss, lie, folder } => {
            if !(0.0..=1.0).contains(&loss) {
                return Err(format!("--loss is {loss}, expected 0 to 1").into());
            }
            let run = proofs::warm_start::Run { seed, pairs, loss, lie, folder };
            let counted = proofs::warm_start::run(&run).await?;
            println!("{counted}");
            Ok(counted.good())
        }
        Command::Backlog { messages, body, folder } => {
            let cost = proofs::backlog::run(&proofs::backlog::Run { messages, body, folder })?;
            println!("{}", serde_json::to_string(&cost)?);
            Ok(true)
        }
        Command::Query { rows, file } => {
            if let Some(folder) = file.parent() {
                std::fs::create_dir_all(folder)?;
            }
            let remove = || {
                for suffix in ["", "-wal", "-shm"] {
                    let _ = std::fs::remove_file(format!("{}{suffix}", file.display()));
                }
            };
            remove();
            let times = proofs::rows::query(&file, rows).await?;
            remove();
            for (name, time) in &times {
                println!("{:>9.2} ms  {name}", time.as_secs_f64() * 1000.0);
            }
            Ok(true)
        }
    }
}

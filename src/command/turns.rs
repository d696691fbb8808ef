//! Commands for the maintenance of relays, sent over the control socket of any relay.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use serde_json::{Value, json};

use super::Failure;
use super::control::Socket;
use super::publishing::{self, Machines, Named};

/// Exit status when the relay is not in maintenance in the given time.
const EXIT_NOT_IN_MAINTENANCE: u8 = 3;
/// Interval between queries of the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What a relay is drained for.
#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// The process exits by itself once it is drained, and its supervisor restarts it
    Restart,
    /// As for restart, with another build
    Upgrade,
    /// The process stays, drained, until the machine goes down
    Reboot,
    /// As for reboot, and another machine takes its place
    Replace,
}

/// Arguments of a command for one relay.
#[derive(Args)]
pub struct RelayArgs {
    #[command(flatten)]
    socket: Socket,
    /// The relay's number; by default the relay whose socket is used
    #[arg(long, value_name = "NUMBER")]
    relay: Option<u16>,
}

/// Arguments of a drain request for one relay.
#[derive(Args)]
pub struct DrainArgs {
    #[command(flatten)]
    target: RelayArgs,
    /// What the relay is drained for
    #[arg(long, value_enum, default_value = "restart")]
    kind: Kind,
    /// Wait at most this long until the relay is in maintenance, and print meanwhile what it waits for
    #[arg(long, value_name = "SECONDS")]
    wait: Option<u64>,
}

/// Commands for many relays, and queries of the fleet's state.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Shows, by destination, which relay coordinates the limit for a running relay, whether its own share of the limit is
    /// lent, and how many shares are lent to it
    Show {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows the drain requests, the relays in maintenance, and what this relay waits for
    Turns {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows the version of the destination set in force on a relay, where it came from, and what was refused
    Configuration {
        #[command(flatten)]
        socket: Socket,
    },
    /// Publishes operations on the destination set at the control machines, as one atomic change
    Publish {
        #[command(flatten)]
        machines: Machines,
        #[command(flatten)]
        named: Named,
        /// A JSON array of operations
        #[arg(value_name = "OPERATIONS.json")]
        file: PathBuf,
    },
    /// Reverts all changes of the destination set after a given one, by a new change
    Rollback {
        #[command(flatten)]
        machines: Machines,
        #[command(flatten)]
        named: Named,
        /// The number of the last change that stays: 41 for version 0.41
        #[arg(value_name = "NUMBER")]
        to: u64,
    },
    /// Shows the state of the control machines each second: the leader, their versions, and what they refuse
    Watch {
        #[command(flatten)]
        machines: Machines,
        /// Show the state only once
        #[arg(long)]
        once: bool,
    },
    /// Requests maintenance of every relay, or of every relay of a zone, one after the other as the fleet permits
    Roll {
        #[command(flatten)]
        socket: Socket,
        /// All relays
        #[arg(long, required_unless_present = "zone", conflicts_with = "zone")]
        all: bool,
        /// The relays of this zone
        #[arg(long)]
        zone: Option<u16>,
        /// What the relays are drained for
        #[arg(long, value_enum, default_value = "restart")]
        kind: Kind,
    },
    /// Pauses new maintenance; what has begun goes on
    Pause {
        #[command(flatten)]
        socket: Socket,
    },
    /// Resumes maintenance after a pause
    Resume {
        #[command(flatten)]
        socket: Socket,
    },
    /// Writes off a relay that will not be back, so that it no longer counts as unavailable; it may still return
    WriteOff {
        #[command(flatten)]
        socket: Socket,
        /// The relay's number
        relay: u16,
    },
}

/// The kind as it is named on the control socket.
fn kind_name(kind: Kind) -> Option<String> {
    kind.to_possible_value().map(|value| value.get_name().to_string())
}

/// Sends a command, and prints the answer.
fn send_command(socket: &Socket, command: &Value) -> Result<ExitCode, Failure> {
    let answer = socket.ask(&command.to_string())?;
    print(socket, &answer, answer.get("turns"));
    Ok(ExitCode::SUCCESS)
}

fn print(socket: &Socket, answer: &Value, turns: Option<&Value>) {
    if socket.json {
        return println!("{answer}");
    }
    let turns = turns.unwrap_or(&Value::Null);
    let waiting_reason = turns.get("waits_for").and_then(Value::as_str).unwrap_or_default();
    let relay = turns.get("relay").and_then(Value::as_u64).unwrap_or_default();
    match answer.get("new").and_then(Value::as_bool) {
        Some(true) => println!("taken"),
        Some(false) => println!("already so"),
        None => {}
    }
    if turns.get("paused").and_then(Value::as_bool) == Some(true) {
        println!("new maintenance is paused");
    }
    for (title, key, what) in [("wanted", "wishes", "stage"), ("not serving", "not_serving", "is")] {
        for row in turns.get(key).and_then(Value::as_array).into_iter().flatten() {
            let text = |key: &str| row.get(key).map(|v| v.to_string().replace('"', "")).unwrap_or_default();
            println!("{title}: relay {} {} {}", text("relay"), text("kind"), text(what));
        }
    }
    if !waiting_reason.is_empty() {
        println!("relay {relay}: {waiting_reason}");
    }
}

/// Requests that a relay is drained, and waits for it if asked to.
///
/// # Errors
/// Where no relay answers, or it refuses the command.
pub fn out(args: &DrainArgs) -> Result<ExitCode, Failure> {
    let command = json!({"turns": "out", "relay": args.target.relay, "kind": kind_name(args.kind)});
    let socket = &args.target.socket;
    let Some(seconds) = args.wait else { return self::send_command(socket, &command) };
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let first_answer = socket.ask(&command.to_string())?;
    let relay = args.target.relay.map(u64::from);
    let relay = relay.or(first_answer.pointer("/turns/relay").and_then(Value::as_u64)).unwrap_or_default();
    let mut last_reason = String::new();
    while Instant::now() < deadline {
        // A relay that no longer answers may have exited for its maintenance.
        let Ok(answer) = socket.ask("{\"turns\": \"show\"}") else {
            println!("the relay no longer answers");
            return Ok(ExitCode::SUCCESS);
        };
        let turns = answer.get("turns").cloned().unwrap_or_default();
        let rows = |key: &str| turns.get(key).and_then(Value::as_array).cloned().unwrap_or_default();
        let is_relay = |row: &Value| row.get("relay").and_then(Value::as_u64) == Some(relay);
        let status =
            rows("not_serving").iter().find(|row| is_relay(row)).and_then(|row| row.get("is").cloned());
        let is_asked_relay = turns.get("relay").and_then(Value::as_u64) == Some(relay);
        if is_asked_relay && !turns.get("turn").is_none_or(Value::is_null)
            || status.is_some_and(|status| status.to_string().contains("seat"))
        {
            print(socket, &answer, Some(&turns));
            return Ok(ExitCode::SUCCESS);
        }
        if rows("wishes")
            .iter()
            .any(|row| is_relay(row) && row.get("stage").and_then(Value::as_str) != Some("wanted"))
        {
            println!("relay {relay} is back, or the request was withdrawn");
            return Ok(ExitCode::SUCCESS);
        }
        let waiting_reason = turns.get("waits_for").and_then(Value::as_str).unwrap_or_default().to_string();
        if waiting_reason != last_reason && !waiting_reason.is_empty() {
            eprintln!("{waiting_reason}");
            last_reason = waiting_reason;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    eprintln!("tulipfall: relay {relay} is not in maintenance yet; the request stays pending");
    Ok(ExitCode::from(EXIT_NOT_IN_MAINTENANCE))
}

/// Ends the maintenance of a relay, without a restart.
///
/// # Errors
/// As for [`out`].
pub fn back(socket: &Socket) -> Result<ExitCode, Failure> {
    send_command(socket, &json!({"turns": "back"}))
}

/// Withdraws a drain request.
///
/// # Errors
/// As for [`out`].
pub fn abort(args: &RelayArgs) -> Result<ExitCode, Failure> {
    send_command(&args.socket, &json!({"turns": "abort", "relay": args.relay}))
}

/// Runs a command for many relays, or a query.
///
/// # Errors
/// As for [`out`].
pub fn fleet(command: &FleetCommand) -> Result<ExitCode, Failure> {
    match command {
        FleetCommand::Show { socket } => super::peers::show(socket, "shares"),
        FleetCommand::Turns { socket } => send_command(socket, &json!({"turns": "show"})),
        FleetCommand::Configuration { socket } => super::configuration::show(socket),
        FleetCommand::Publish { machines, named, file } => publishing::publish(machines, named, file),
        FleetCommand::Rollback { machines, named, to } => publishing::roll_back(machines, named, *to),
        FleetCommand::Watch { machines, once } => publishing::watch(machines, *once),
        FleetCommand::Roll { socket, zone, kind, .. } => {
            send_command(socket, &json!({"turns": "roll", "zone": zone, "kind": kind_name(*kind)}))
        }
        FleetCommand::Pause { socket } => send_command(socket, &json!({"turns": "pause"})),
        FleetCommand::Resume { socket } => send_command(socket, &json!({"turns": "resume"})),
        FleetCommand::WriteOff { socket, relay } => {
            send_command(socket, &json!({"turns": "write-off", "relay": relay}))
        }
    }
}

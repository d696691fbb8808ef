//! Orders to the fleet's turns, over the control socket of any relay. Owns what they print and how they exit.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use serde_json::{Value, json};

use super::Failure;
use super::control::Socket;
use super::publishing::{self, Machines, Named};

/// The relay did not get its turn, or is not back, in the time that was given.
const NOT_YET: u8 = 3;
/// Progress is looked at so often.
const LOOK: Duration = Duration::from_millis(500);

/// What a machine is taken out for.
#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// The process ends by itself once it is empty, and whatever looks after it starts it again
    Restart,
    /// The same, with another build
    Upgrade,
    /// The process stays, emptied, until the machine goes down
    Reboot,
    /// The same, and another machine comes back
    Replace,
}

/// An order for one relay.
#[derive(Args)]
pub struct One {
    #[command(flatten)]
    socket: Socket,
    /// The relay's number; the one that is asked without it
    #[arg(long, value_name = "NUMBER")]
    relay: Option<u16>,
}

/// A wish for one relay.
#[derive(Args)]
pub struct Out {
    #[command(flatten)]
    one: One,
    /// What for
    #[arg(long, value_enum, default_value = "restart")]
    kind: Kind,
    /// Wait until the relay is out, for so many seconds at the most, and say meanwhile what it waits for
    #[arg(long, value_name = "SECONDS")]
    wait: Option<u64>,
}

/// Orders for many relays, and what is known of them.
#[derive(Subcommand)]
pub enum Fleet {
    /// Shows, by destination, whom a running relay asks for permits, whether its own part of the limit is lent, and how many
    /// parts are lent to it
    Show {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows who wants to go out, who is out, and what this relay waits for
    Turns {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows the version of the destination set that is in force on a relay, from whom it has it, and what it refused
    Configuration {
        #[command(flatten)]
        socket: Socket,
    },
    /// Publishes operations on the destination set at the control machines, as one change that is in force whole
    Publish {
        #[command(flatten)]
        machines: Machines,
        #[command(flatten)]
        named: Named,
        /// A JSON array of operations
        #[arg(value_name = "OPERATIONS.json")]
        file: PathBuf,
    },
    /// Undoes all changes of the destination set after one, by a change of its own
    Rollback {
        #[command(flatten)]
        machines: Machines,
        #[command(flatten)]
        named: Named,
        /// The number of the last change that stays: 41 for version 0.41
        #[arg(value_name = "NUMBER")]
        to: u64,
    },
    /// Shows each second how the control machines are: who leads, which version they have, and whom they refuse
    Watch {
        #[command(flatten)]
        machines: Machines,
        /// One look only
        #[arg(long)]
        once: bool,
    },
    /// Wishes every relay out, or every relay of a zone, one after the other as the fleet settles it
    Roll {
        #[command(flatten)]
        socket: Socket,
        /// All relays
        #[arg(long, required_unless_present = "zone", conflicts_with = "zone")]
        all: bool,
        /// Those of this zone
        #[arg(long)]
        zone: Option<u16>,
        /// What for
        #[arg(long, value_enum, default_value = "restart")]
        kind: Kind,
    },
    /// Holds all new turns; those that have begun go on
    Pause {
        #[command(flatten)]
        socket: Socket,
    },
    /// Lets turns go on
    Resume {
        #[command(flatten)]
        socket: Socket,
    },
    /// Gives up a relay that will not be back, so that its place is free; it may return all the same
    WriteOff {
        #[command(flatten)]
        socket: Socket,
        /// Its number
        relay: u16,
    },
}

/// As the relay reads it.
fn kind(kind: Kind) -> Option<String> {
    kind.to_possible_value().map(|value| value.get_name().to_string())
}

/// Gives an order, and prints what came of it.
fn order(socket: &Socket, order: &Value) -> Result<ExitCode, Failure> {
    let answer = socket.ask(&order.to_string())?;
    print(socket, &answer, answer.get("turns"));
    Ok(ExitCode::SUCCESS)
}

fn print(socket: &Socket, answer: &Value, turns: Option<&Value>) {
    if socket.json {
        return println!("{answer}");
    }
    let turns = turns.unwrap_or(&Value::Null);
    let said = turns.get("waits_for").and_then(Value::as_str).unwrap_or_default();
    let me = turns.get("relay").and_then(Value::as_u64).unwrap_or_default();
    match answer.get("new").and_then(Value::as_bool) {
        Some(true) => println!("taken"),
        Some(false) => println!("so it was already"),
        None => {}
    }
    if turns.get("paused").and_then(Value::as_bool) == Some(true) {
        println!("all new turns are held");
    }
    for (title, key, what) in [("wanted", "wishes", "stage"), ("not serving", "not_serving", "is")] {
        for row in turns.get(key).and_then(Value::as_array).into_iter().flatten() {
            let text = |key: &str| row.get(key).map(|v| v.to_string().replace('"', "")).unwrap_or_default();
            println!("{title}: relay {} {} {}", text("relay"), text("kind"), text(what));
        }
    }
    if !said.is_empty() {
        println!("relay {me}: {said}");
    }
}

/// Wishes a relay out.
///
/// # Errors
/// Where no relay answers, or it does not take the order.
pub fn out(out: &Out) -> Result<ExitCode, Failure> {
    let order = json!({"turns": "out", "relay": out.one.relay, "kind": kind(out.kind)});
    let socket = &out.one.socket;
    let Some(seconds) = out.wait else { return self::order(socket, &order) };
    let until = Instant::now() + Duration::from_secs(seconds);
    let first = socket.ask(&order.to_string())?;
    let relay = out.one.relay.map(u64::from);
    let relay = relay.or(first.pointer("/turns/relay").and_then(Value::as_u64)).unwrap_or_default();
    let mut last = String::new();
    while Instant::now() < until {
        // A relay that answers no more may have ended in its turn already.
        let Ok(answer) = socket.ask("{\"turns\": \"show\"}") else {
            println!("the relay that was asked answers no more");
            return Ok(ExitCode::SUCCESS);
        };
        let turns = answer.get("turns").cloned().unwrap_or_default();
        let rows = |key: &str| turns.get(key).and_then(Value::as_array).cloned().unwrap_or_default();
        let of = |row: &Value| row.get("relay").and_then(Value::as_u64) == Some(relay);
        let is = rows("not_serving").iter().find(|row| of(row)).and_then(|row| row.get("is").cloned());
        let own = turns.get("relay").and_then(Value::as_u64) == Some(relay);
        if own && !turns.get("turn").is_none_or(Value::is_null)
            || is.is_some_and(|is| is.to_string().contains("seat"))
        {
            print(socket, &answer, Some(&turns));
            return Ok(ExitCode::SUCCESS);
        }
        if rows("wishes")
            .iter()
            .any(|row| of(row) && row.get("stage").and_then(Value::as_str) != Some("wanted"))
        {
            println!("relay {relay} is back, or the wish was given up");
            return Ok(ExitCode::SUCCESS);
        }
        let said = turns.get("waits_for").and_then(Value::as_str).unwrap_or_default().to_string();
        if said != last && !said.is_empty() {
            eprintln!("{said}");
            last = said;
        }
        std::thread::sleep(LOOK);
    }
    eprintln!("tulipfall: relay {relay} is not out yet; the wish stands");
    Ok(ExitCode::from(NOT_YET))
}

/// Brings back a relay that is out, before its process ended.
///
/// # Errors
/// As for [`out`].
pub fn back(one: &Socket) -> Result<ExitCode, Failure> {
    order(one, &json!({"turns": "back"}))
}

/// Gives a wish up.
///
/// # Errors
/// As for [`out`].
pub fn abort(one: &One) -> Result<ExitCode, Failure> {
    order(&one.socket, &json!({"turns": "abort", "relay": one.relay}))
}

/// Orders for many, and what is known.
///
/// # Errors
/// As for [`out`].
pub fn fleet(command: &Fleet) -> Result<ExitCode, Failure> {
    match command {
        Fleet::Show { socket } => super::peers::show(socket, "shares"),
        Fleet::Turns { socket } => order(socket, &json!({"turns": "show"})),
        Fleet::Configuration { socket } => super::configuration::show(socket),
        Fleet::Publish { machines, named, file } => publishing::publish(machines, named, file),
        Fleet::Rollback { machines, named, to } => publishing::roll_back(machines, named, *to),
        Fleet::Watch { machines, once } => publishing::watch(machines, *once),
        Fleet::Roll { socket, zone, kind: what, .. } => {
            order(socket, &json!({"turns": "roll", "zone": zone, "kind": kind(*what)}))
        }
        Fleet::Pause { socket } => order(socket, &json!({"turns": "pause"})),
        Fleet::Resume { socket } => order(socket, &json!({"turns": "resume"})),
        Fleet::WriteOff { socket, relay } => order(socket, &json!({"turns": "write-off", "relay": relay})),
    }
}

//! Shows a running relay's view of its peers, of destinations and of shared limits, which it queries over the control socket.
//! Read-only.

use std::process::ExitCode;

use clap::Subcommand;
use serde_json::Value;

use super::Failure;
use super::control::Socket;

/// Subcommands that show a part of the relay's state.
#[derive(Subcommand)]
pub enum Show {
    /// Queries the relay and shows its answer
    Show(Socket),
}

/// Queries a relay and shows one part of its answer.
///
/// # Errors
/// If no relay answers.
pub fn show(socket: &Socket, part: &str) -> Result<ExitCode, Failure> {
    let all = socket.ask("show")?;
    if socket.json {
        println!("{}", all.get(part).unwrap_or(&Value::Null));
        return Ok(ExitCode::SUCCESS);
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    let rows = all.get(part).and_then(Value::as_array).cloned().unwrap_or_default();
    let columns: &[&str] = match part {
        "peers" => &["peer", "standing", "heard_s_ago", "trust", "incarnation"],
        "shares" => &["destination", "steward", "own", "lent", "of", "sliced"],
        "repeats" => {
            &["destination", "keeper", "credits", "firsts", "spent", "given", "had", "waiting", "asked"]
        }
        "overload" => &["destination", "per_s", "cut", "waiting", "waits"],
        _ => &["destination", "known", "seen_s_ago", "by", "hops", "weight"],
    };
    table.set_header(columns);
    for row in &rows {
        let cell = |column: &&str| match row.get(*column) {
            Some(Value::Null) | None => "-".to_string(),
            Some(Value::Number(number)) if number.is_f64() => {
                format!("{:.2}", number.as_f64().unwrap_or_default())
            }
            Some(value) => value.to_string().replace('"', ""),
        };
        table.add_row(columns.iter().map(cell).collect::<Vec<_>>());
    }
    println!("{table}");
    Ok(ExitCode::SUCCESS)
}

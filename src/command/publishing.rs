//! Commands that change the destination set at the control machines, and show how these are.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use destinations::Operation;
use serde_json::{Value, json};

use super::Failure;
use super::control_machine::{ControlError, propose, status};

/// From one look at the control machines to the next.
const LOOK: Duration = Duration::from_secs(1);
/// Bytes of the id of a proposal.
const ID_BYTES: usize = 16;

/// Which control machines are asked.
#[derive(Args)]
pub struct Machines {
    /// Where a control machine listens for operators (configuration.control.admin), more than once for others to fall back on
    #[arg(long = "control", value_name = "HOST:PORT", required = true)]
    addresses: Vec<SocketAddr>,
    /// The answer as JSON, in place of words
    #[arg(long)]
    json: bool,
}

/// How a proposal is named.
#[derive(Args)]
pub struct Named {
    /// The id of an earlier attempt whose outcome was not known, 32 hex digits
    #[arg(long, value_parser = parse_id)]
    id: Option<String>,
}

/// Why operations cannot be read.
#[derive(Debug, thiserror::Error)]
enum OperationsError {
    #[error("{}: {source}", .file.display())]
    Read { file: PathBuf, source: std::io::Error },
    #[error("{}: expected an array of operations: {source}", .file.display())]
    Syntax { file: PathBuf, source: serde_json::Error },
    #[error("{}: has no operations", .0.display())]
    Empty(PathBuf),
}

/// Publishes the operations of a file as one change.
///
/// # Errors
/// The file is none, the cluster refuses the change, or no outcome is known in time.
pub fn publish(machines: &Machines, named: &Named, file: &Path) -> Result<ExitCode, Failure> {
    let operations = read_operations(file)?;
    let id = named.id()?;
    let request = json!({"publish": {"id": id, "operations": operations}});
    change(machines, &id, &request)
}

/// Undoes all changes after that number, as one change of its own.
///
/// # Errors
/// The cluster refuses it, or no outcome is known in time.
pub fn roll_back(machines: &Machines, named: &Named, to: u64) -> Result<ExitCode, Failure> {
    let id = named.id()?;
    change(machines, &id, &json!({"rollback": {"id": id, "to": to}}))
}

/// Shows how each control machine is, once or each second until it is stopped.
///
/// # Errors
/// With `once`, if one of them does not answer.
pub fn watch(machines: &Machines, once: bool) -> Result<ExitCode, Failure> {
    loop {
        let mut all_answer = true;
        for address in &machines.addresses {
            match status(*address) {
                Ok(status) if machines.json => println!("{status}"),
                Ok(status) => println!("{}", line(*address, &status)),
                Err(error) => {
                    all_answer = false;
                    eprintln!("{error}");
                }
            }
        }
        if once {
            return Ok(if all_answer { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        std::thread::sleep(LOOK);
    }
}

fn change(machines: &Machines, id: &str, request: &Value) -> Result<ExitCode, Failure> {
    let version =
        propose(&machines.addresses, id, request).map_err(|error: ControlError| error.to_string())?;
    if machines.json {
        println!("{}", json!({"version": version.to_string(), "id": id}));
    } else {
        println!("version {version}");
    }
    Ok(ExitCode::SUCCESS)
}

fn read_operations(file: &Path) -> Result<Vec<Operation>, OperationsError> {
    let read = |source| OperationsError::Read { file: file.to_owned(), source };
    let bytes = std::fs::read(file).map_err(read)?;
    let syntax = |source| OperationsError::Syntax { file: file.to_owned(), source };
    let operations: Vec<Operation> = serde_json::from_slice(&bytes).map_err(syntax)?;
    if operations.is_empty() {
        return Err(OperationsError::Empty(file.to_owned()));
    }
    Ok(operations)
}

impl Named {
    /// The given id, or one that no other proposal has.
    fn id(&self) -> Result<String, Failure> {
        if let Some(id) = &self.id {
            return Ok(id.clone());
        }
        let mut bytes = [0; ID_BYTES];
        openssl::rand::rand_bytes(&mut bytes)?;
        Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

fn parse_id(text: &str) -> Result<String, String> {
    let sound = text.len() == 2 * ID_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if sound { Ok(text.to_owned()) } else { Err(format!("expected {} hex digits", 2 * ID_BYTES)) }
}

/// One line of what matters of a machine's status.
fn line(address: SocketAddr, status: &Value) -> String {
    let field = |key: &str| status.get(key).unwrap_or(&Value::Null);
    let number = |value: &Value| value.as_u64().map_or("-".to_owned(), |number| number.to_string());
    let part = |key: &str| number(field("version").get(key).unwrap_or(&Value::Null));
    let mut line = format!(
        "{address}: machine {}, leader {}, version {}.{}, {} destinations, {} subscribers",
        number(field("node")),
        number(field("leader")),
        part("epoch"),
        part("number"),
        number(field("destinations")),
        number(field("subscribers")),
    );
    for (key, what) in [("misplaced", "refused, listed elsewhere"), ("strangers", "not listed")] {
        let peers: Vec<&str> =
            field(key).as_object().into_iter().flatten().map(|(peer, _)| peer.as_str()).collect();
        if !peers.is_empty() {
            line += &format!("; {what}: {}", peers.join(", "));
        }
    }
    line
}

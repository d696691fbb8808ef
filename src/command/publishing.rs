//! Commands that change the destination set at the control machines, and show the machines' status.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use destinations::Operation;
use serde_json::{Value, json};

use super::Failure;
use super::control_machine::{ControlError, propose, status};

/// Interval between two status queries.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Length of a proposal's id, in bytes.
const ID_BYTES: usize = 16;

/// The control machines to use.
#[derive(Args)]
pub struct Machines {
    /// Admin address of a control machine (configuration.control.admin); may be repeated to name fallbacks
    #[arg(long = "control", value_name = "HOST:PORT", required = true)]
    addresses: Vec<SocketAddr>,
    /// Print the answer as JSON
    #[arg(long)]
    json: bool,
}

/// The id of a proposal.
#[derive(Args)]
pub struct ProposalId {
    /// Id of an earlier attempt whose outcome is unknown, as 32 hex digits
    #[arg(long, value_parser = parse_id)]
    id: Option<String>,
}

/// Why a file of operations cannot be read.
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
/// If the file cannot be read, the cluster refuses the change, or no outcome is known before the timeout.
pub fn publish(machines: &Machines, proposal_id: &ProposalId, file: &Path) -> Result<ExitCode, Failure> {
    let operations = read_operations(file)?;
    let id = proposal_id.id()?;
    let request = json!({"publish": {"id": id, "operations": operations}});
    change(machines, &id, &request)
}

/// Reverts all changes after the change with the number `to`, by publishing one new change.
///
/// # Errors
/// If the cluster refuses it, or no outcome is known before the timeout.
pub fn roll_back(machines: &Machines, proposal_id: &ProposalId, to: u64) -> Result<ExitCode, Failure> {
    let id = proposal_id.id()?;
    change(machines, &id, &json!({"rollback": {"id": id, "to": to}}))
}

/// Shows the status of each control machine: once, or every second until interrupted. With `once`, the exit status is a
/// failure if a machine does not answer.
pub fn watch(machines: &Machines, once: bool) -> Result<ExitCode, Failure> {
    loop {
        let mut all_answer = true;
        for address in &machines.addresses {
            match status(*address) {
                Ok(status) if machines.json => println!("{status}"),
                Ok(status) => println!("{}", status_line(*address, &status)),
                Err(error) => {
                    all_answer = false;
                    eprintln!("{error}");
                }
            }
        }
        if once {
            return Ok(if all_answer { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        std::thread::sleep(STATUS_INTERVAL);
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

impl ProposalId {
    /// The given id, or a new random one.
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

/// Formats a machine's status as one line.
fn status_line(address: SocketAddr, status: &Value) -> String {
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

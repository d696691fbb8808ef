//! A client of the control machines' admin addresses. A request is one line of JSON, and so is its answer.
//!
//! A request may go to any machine: a follower names the leader. All attempts at a proposal have the same id, so that the
//! cluster applies it once.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use destinations::Version;
use serde::Deserialize;
use serde_json::Value;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an answer. It exceeds the ten seconds that a control machine allows for a proposal.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after which a proposal is no longer retried.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two attempts, while a leader is elected.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why a request to a control machine failed, or was refused.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No address was given.
    #[error("which control machine? --control HOST:PORT")]
    NoAddress,
    /// A machine cannot be reached.
    #[error("{address}: no control machine answers: {source}")]
    Unreached {
        /// Admin address of the machine.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The answer cannot be parsed.
    #[error("{address}: not an answer of a control machine: {source}")]
    Answer {
        /// Address of the machine that answered.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// The answer is of another kind than the request.
    #[error("{0}: the answer does not fit the question")]
    OtherAnswer(SocketAddr),
    /// The cluster refused the proposal.
    #[error("refused: {0}")]
    Refused(String),
    /// The request is invalid, or cannot be accepted now.
    #[error("{address}: {reason}")]
    Error {
        /// Address of the machine that answered.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// There is no leader.
    #[error("{0}: no control machine leads now")]
    NoLeader(SocketAddr),
    /// The machine does not know the outcome of the proposal.
    #[error("{address}: the outcome is not known: {reason}")]
    Unknown {
        /// Address of the machine that answered.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// All attempts failed.
    #[error(
        "no outcome within {seconds} s, last: {last}; the same command with --id {id} asks again and changes nothing twice",
        seconds = PROPOSAL_TIMEOUT.as_secs()
    )]
    GivenUp {
        /// The last failure.
        last: Box<ControlError>,
        /// Id of the proposal.
        id: String,
    },
}

/// Answer of a control machine.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reply {
    Published { version: Version },
    Refused { reason: String },
    NotLeader { admin: Option<SocketAddr> },
    Unknown { reason: String },
    Error { reason: String },
    Status(Value),
}

/// Queries the status of a machine.
///
/// # Errors
/// If the machine does not answer, or with something other than its status.
pub fn status(address: SocketAddr) -> Result<Value, ControlError> {
    match ask(address, &Value::from("status"))? {
        Reply::Status(status) => Ok(status),
        Reply::Error { reason } => Err(ControlError::Error { address, reason }),
        _ => Err(ControlError::OtherAnswer(address)),
    }
}

/// Sends a proposal until its outcome is known, and returns the version that it created. `request` contains `id`.
///
/// # Errors
/// If the cluster refuses it, or no outcome is known before the timeout.
pub fn propose(addresses: &[SocketAddr], id: &str, request: &Value) -> Result<Version, ControlError> {
    let deadline = Instant::now() + PROPOSAL_TIMEOUT;
    let mut others = addresses.iter().copied().cycle();
    let mut address = others.next().ok_or(ControlError::NoAddress)?;
    loop {
        let (next, failed) = match attempt(address, request)? {
            Attempt::Published(version) => return Ok(version),
            Attempt::Elsewhere(leader) if leader != address => {
                (Some(leader), ControlError::NoLeader(address))
            }
            Attempt::Elsewhere(_) => (None, ControlError::NoLeader(address)),
            Attempt::Failed(error) => (None, error),
        };
        if Instant::now() >= deadline {
            return Err(ControlError::GivenUp { last: Box::new(failed), id: id.to_owned() });
        }
        std::thread::sleep(RETRY_INTERVAL);
        address = next.or_else(|| others.next()).ok_or(ControlError::NoAddress)?;
    }
}

/// Result of one attempt.
enum Attempt {
    Published(Version),
    /// Another machine is the leader.
    Elsewhere(SocketAddr),
    /// The attempt failed and may be repeated.
    Failed(ControlError),
}

fn attempt(address: SocketAddr, request: &Value) -> Result<Attempt, ControlError> {
    let reply = match ask(address, request) {
        Ok(reply) => reply,
        Err(error @ ControlError::Unreached { .. }) => return Ok(Attempt::Failed(error)),
        Err(error) => return Err(error),
    };
    match reply {
        Reply::Published { version } => Ok(Attempt::Published(version)),
        Reply::Refused { reason } => Err(ControlError::Refused(reason)),
        Reply::NotLeader { admin: Some(leader) } => Ok(Attempt::Elsewhere(leader)),
        Reply::NotLeader { admin: None } => Ok(Attempt::Failed(ControlError::NoLeader(address))),
        Reply::Unknown { reason } => Ok(Attempt::Failed(ControlError::Unknown { address, reason })),
        Reply::Error { reason } => Err(ControlError::Error { address, reason }),
        Reply::Status(_) => Err(ControlError::OtherAnswer(address)),
    }
}

fn ask(address: SocketAddr, request: &Value) -> Result<Reply, ControlError> {
    let line = exchange(address, request).map_err(|source| ControlError::Unreached { address, source })?;
    serde_json::from_str(&line).map_err(|source| ControlError::Answer { address, source })
}

fn exchange(address: SocketAddr, request: &Value) -> std::io::Result<String> {
    let mut connection = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    connection.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    connection.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    connection.write_all(format!("{request}\n").as_bytes())?;
    let mut answer = String::new();
    if BufReader::new(connection).read_line(&mut answer)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(answer)
}

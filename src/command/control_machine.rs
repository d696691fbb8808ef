//! A client of control machines, at the addresses where they listen for operators: a JSON object a line, and one back.
//!
//! Any machine may be asked: one that does not lead names the leader, and each attempt at a proposal bears the same id, so that
//! the cluster takes it once.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use destinations::Version;
use serde::Deserialize;
use serde_json::Value;

/// For how long a connection is awaited.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);
/// For how long an answer is awaited; a control machine gives a proposal ten seconds.
const ANSWER_PATIENCE: Duration = Duration::from_secs(12);
/// For how long a proposal is tried.
const PROPOSAL_PATIENCE: Duration = Duration::from_secs(30);
/// Between two attempts, while a leader is elected.
const PAUSE: Duration = Duration::from_millis(200);

/// Why a control machine could not be asked, or said no.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No address was given.
    #[error("which control machine? --control HOST:PORT")]
    NoAddress,
    /// A machine does not answer.
    #[error("{address}: no control machine answers: {source}")]
    Unreached {
        /// Where it should listen for operators.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The answer is none.
    #[error("{address}: not an answer of a control machine: {source}")]
    Answer {
        /// Who answered.
        address: SocketAddr,
        /// Why.
        source: serde_json::Error,
    },
    /// The answer is one to another question.
    #[error("{0}: the answer does not fit the question")]
    OtherAnswer(SocketAddr),
    /// The proposal changed nothing.
    #[error("refused: {0}")]
    Refused(String),
    /// The request is none, or cannot be taken now.
    #[error("{address}: {reason}")]
    Error {
        /// Who answered.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// Nobody leads.
    #[error("{0}: no control machine leads now")]
    NoLeader(SocketAddr),
    /// The machine does not know the outcome.
    #[error("{address}: the outcome is not known: {reason}")]
    Unknown {
        /// Who answered.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// All attempts failed.
    #[error(
        "no outcome within {seconds} s, last: {last}; the same command with --id {id} asks again and changes nothing twice",
        seconds = PROPOSAL_PATIENCE.as_secs()
    )]
    GivenUp {
        /// The last failure.
        last: Box<ControlError>,
        /// The id of the proposal.
        id: String,
    },
}

/// What a control machine answers.
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

/// Asks a machine how it is.
///
/// # Errors
/// It does not answer, or not to the question.
pub fn status(address: SocketAddr) -> Result<Value, ControlError> {
    match ask(address, &Value::from("status"))? {
        Reply::Status(status) => Ok(status),
        Reply::Error { reason } => Err(ControlError::Error { address, reason }),
        _ => Err(ControlError::OtherAnswer(address)),
    }
}

/// Proposes until the outcome is known: the version that the proposal led to. `request` bears the id.
///
/// # Errors
/// The cluster refuses it, or no outcome is known in time.
pub fn propose(addresses: &[SocketAddr], id: &str, request: &Value) -> Result<Version, ControlError> {
    let deadline = Instant::now() + PROPOSAL_PATIENCE;
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
        std::thread::sleep(PAUSE);
        address = next.or_else(|| others.next()).ok_or(ControlError::NoAddress)?;
    }
}

/// What came of one attempt.
enum Attempt {
    Published(Version),
    /// Another machine leads.
    Elsewhere(SocketAddr),
    /// It may be tried again.
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
    let mut connection = TcpStream::connect_timeout(&address, CONNECT_PATIENCE)?;
    connection.set_read_timeout(Some(ANSWER_PATIENCE))?;
    connection.set_write_timeout(Some(ANSWER_PATIENCE))?;
    connection.write_all(format!("{request}\n").as_bytes())?;
    let mut answer = String::new();
    if BufReader::new(connection).read_line(&mut answer)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(answer)
}

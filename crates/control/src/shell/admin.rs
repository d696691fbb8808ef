//! What operators ask a control machine, a JSON object a line, and its answers.
//!
//! ```text
//! {"publish":{"operations":[{"RemoveDestination":{"destination":7}}]}}
//! {"rollback":{"to":41}}
//! "status"
//! ```
//!
//! A proposal may bear an `id` of 32 hexadecimal digits; asked again by the same id, as after a timeout, it is taken once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use destinations::{Operation, Version};
use fleet::Peer;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::proposal::ProposalId;

/// The longest line of a request, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Connections of operators at a time.
const MAX_CONNECTIONS: usize = 32;
/// For how long an operator may be silent.
const IDLE_PATIENCE: Duration = Duration::from_secs(300);
/// For how long an outcome is awaited.
const OUTCOME_PATIENCE: Duration = Duration::from_secs(10);
/// After a connection that could not be taken.
const RETRY: Duration = Duration::from_millis(200);

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// Publishes operations as one change.
    Publish {
        /// The name of the proposal; one is made up if there is none.
        id: Option<ProposalId>,
        /// The operations.
        operations: Vec<Operation>,
    },
    /// Undoes all changes after that number, as one change of its own.
    Rollback {
        /// The name of the proposal; one is made up if there is none.
        id: Option<ProposalId>,
        /// The number of the last change that stays.
        to: u64,
    },
    /// Asks how the machine is.
    Status,
}

/// What the machine answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The proposal is a change.
    Published {
        /// The proposal.
        id: ProposalId,
        /// The version that it led to.
        version: Version,
    },
    /// The proposal changed nothing.
    Refused {
        /// The proposal.
        id: ProposalId,
        /// Why.
        reason: String,
    },
    /// Another machine takes proposals.
    NotLeader {
        /// Its number, if there is one.
        leader: Option<u64>,
        /// Where it listens for operators.
        admin: Option<SocketAddr>,
    },
    /// The outcome is not known yet: ask again by the same id.
    Unknown {
        /// The proposal.
        id: Option<ProposalId>,
        /// Why.
        reason: String,
    },
    /// The request is none, or cannot be taken now.
    Error {
        /// Why.
        reason: String,
    },
    /// How the machine is.
    Status(Status),
}

/// How a control machine is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub node: u64,
    /// The number of the leader, if there is one.
    pub leader: Option<u64>,
    /// The term of the consensus.
    pub term: u64,
    /// The last index that it knows to be committed.
    pub commit_index: u64,
    /// For how long no quorum was heard, in microseconds; see [`consensus::Consensus::quorum_silence_us`].
    pub quorum_silence_us: Option<i64>,
    /// How long ago the set had all that the cluster had committed, in microseconds; see
    /// [`consensus::Consensus::confirmed_us`].
    pub age_us: Option<i64>,
    /// The version of the set.
    pub version: Version,
    /// The digest of the set, in hexadecimal digits.
    pub digest: String,
    /// Destinations in the set.
    pub destinations: usize,
    /// Entries in the log of the consensus.
    pub log_entries: usize,
    /// Messages of control machines that had no effect.
    pub refused_messages: u64,
    /// Machines of the fleet that hear changes from this one.
    pub subscribers: usize,
    /// How often machines of the fleet were refused as subscribers because their list of machines is another than here,
    /// by their numbers.
    pub misplaced: BTreeMap<Peer, u64>,
    /// Notes of the fleet, with its key, by senders whose numbers are not those of other machines here.
    pub strangers: BTreeMap<Peer, u64>,
    /// Notes of the fleet that had no effect, for any reason, as another key.
    pub refused_notes: u64,
}

/// A request, and where its answer goes.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) request: Request,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// Takes connections of operators, and hands on what they ask.
pub(crate) async fn listen(listener: TcpListener, requests: mpsc::Sender<Asked>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((connection, _)) if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(serve(connection, requests.clone()));
            }
            Ok((_, from)) => tracing::warn!(%from, "too many connections of operators"),
            Err(error) => {
                tracing::warn!(%error, "a connection of an operator was not taken");
                sleep(RETRY).await;
            }
        }
    }
}

async fn serve(connection: TcpStream, requests: mpsc::Sender<Asked>) {
    let mut connection = BufReader::new(connection);
    loop {
        let mut line = Vec::new();
        let mut bounded = (&mut connection).take(MAX_LINE_BYTES as u64 + 1);
        let read = timeout(IDLE_PATIENCE, bounded.read_until(b'\n', &mut line)).await;
        if !matches!(read, Ok(Ok(length)) if length > 0) {
            return;
        }
        let too_long = line.len() > MAX_LINE_BYTES;
        let reply = if too_long { error("the line is too long") } else { answer(&line, &requests).await };
        let Ok(mut encoded) = serde_json::to_vec(&reply) else { return };
        encoded.push(b'\n');
        if connection.write_all(&encoded).await.is_err() || too_long {
            return;
        }
    }
}

async fn answer(line: &[u8], requests: &mpsc::Sender<Asked>) -> Reply {
    let request: Request = match serde_json::from_slice(line) {
        Ok(request) => request,
        Err(why) => return error(&why.to_string()),
    };
    let id = match &request {
        Request::Publish { id, .. } | Request::Rollback { id, .. } => *id,
        Request::Status => None,
    };
    let (reply, replied) = oneshot::channel();
    if requests.send(Asked { request, reply }).await.is_err() {
        return error("the machine stops");
    }
    match timeout(OUTCOME_PATIENCE, replied).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => Reply::Unknown { id, reason: "too many proposals wait".to_owned() },
        Err(_) => Reply::Unknown { id, reason: "it was not committed in time".to_owned() },
    }
}

fn error(reason: &str) -> Reply {
    Reply::Error { reason: reason.to_owned() }
}

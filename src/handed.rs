//! The state that one process of a relay passes to the one that takes over, in addition to the journal, as plain records. The
//! runtime and the handover steps both build on this module.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::classes::Classes;
use crate::exchange::{ContentDigest, Exchange};
use crate::interface::{MessageId, Micros, TargetId};
use crate::rules::Relay;
use crate::store::JournalPosition;
use crate::wire::Names;

/// A call in flight on the old process's sockets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallInFlight {
    /// The message's id.
    pub id: String,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// When it was sent, in Unix microseconds.
    pub began: Micros,
}

/// A message held. Its body is in the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldMessage {
    /// Its number in the decision module.
    pub message: MessageId,
    /// The message.
    pub exchange: Exchange,
    /// The number of its class in the table.
    pub class: usize,
    /// Number of attempts started.
    pub attempts: u32,
    /// Whether its client left before it heard that the message was accepted.
    pub withdrawn: bool,
    /// Whether a further client was told that the message was accepted. Earlier builds do not hand it over.
    #[serde(default)]
    pub acknowledged_again: bool,
    /// Its call in flight.
    #[serde(rename = "out")]
    pub in_flight: Option<CallInFlight>,
}

/// Attempts made for a message before its client withdrew it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastAttempts {
    /// Number of attempts; [`PastAttempts::EXHAUSTED`] if no further one can follow.
    pub count: u32,
    /// Whether one of them may have run.
    pub may_have_run: bool,
}

impl PastAttempts {
    /// The count of a message for which no further attempt can follow.
    pub const EXHAUSTED: u32 = u32::MAX;
}

/// The state of a process that is not in the journal.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The end of the journal when this state was taken.
    pub journal: JournalPosition,
    /// The decision module.
    pub relay: Relay,
    /// The names behind the module's numbers.
    pub names: Names,
    /// The classes known, including those that only messages held refer to.
    pub classes: Classes,
    /// Number of messages seen so far.
    #[serde(rename = "met")]
    pub messages_seen: u64,
    /// The messages held.
    pub held: Vec<HeldMessage>,
    /// The addresses of endpoints.
    pub addresses: Vec<(TargetId, Arc<str>)>,
    /// All destinations that were ever in the destination set.
    pub destinations: Vec<i64>,
    /// Pending timers of the module: due time and token.
    pub timers: Vec<(Micros, u64)>,
    /// Ids of messages that ended recently, with the times of their ends.
    pub ended: Vec<(Micros, Arc<str>)>,
    /// Those among them that were withdrawn, with their attempts. Earlier builds do not hand them over.
    #[serde(default)]
    pub withdrawn: Vec<(Arc<str>, PastAttempts)>,
    /// The contents of the messages that ended recently. Earlier builds do not hand them over.
    #[serde(default)]
    pub ended_contents: Vec<(Arc<str>, ContentDigest)>,
    /// The version of the destination set.
    #[serde(default)]
    pub revision: i64,
    /// Whether operators put the relay on standby.
    #[serde(default)]
    pub standby: bool,
}

impl HandoverState {
    /// The destination and the id of each endpoint in the destination set whose id begins with its destination, as in an
    /// operator's file.
    pub fn endpoints(&self) -> Vec<(i64, String)> {
        let names = self.addresses.iter().filter_map(|(target, _)| self.names.target_name(*target));
        let destination =
            |name: &str| name.split_once('@').and_then(|(destination, _)| destination.parse().ok());
        names.filter_map(|name| Some((destination(name)?, name.to_string()))).collect()
    }
}

/// Asks the runtime to stop between two inputs and pass on its state.
#[derive(Debug)]
pub struct Offer {
    /// Receives the state.
    pub state: oneshot::Sender<Box<HandoverState>>,
    /// Fires when the other process has accepted. If it is closed instead, the runtime continues.
    pub accepted: oneshot::Receiver<()>,
}

/// The calls in flight that a runtime leaves behind, each with the handle that cancels it.
pub type RemainingCalls = Vec<(CallInFlight, Option<oneshot::Sender<()>>)>;

impl std::fmt::Debug for HandoverState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HandoverState")
            .field("held", &self.held.len())
            .field("revision", &self.revision)
            .finish()
    }
}

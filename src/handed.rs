//! What one process of a relay tells the one that takes over, beside the journal, as plain records. Owns the shape of it.
//! It decides nothing, and lies below the runtime and the steps of a handover alike.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::classes::Classes;
use crate::exchange::Exchange;
use crate::interface::{MessageId, Micros, TargetId};
use crate::rules::Relay;
use crate::store::Mark;
use crate::wire::Names;

/// A call that is out on the old process's sockets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutNow {
    /// The message's id.
    pub id: String,
    /// Which attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// When it was sent, in Unix microseconds.
    pub began: Micros,
}

/// A message that is held; its body is in the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldNow {
    /// Its number in the module.
    pub message: MessageId,
    /// The message.
    pub exchange: Exchange,
    /// The number of its class in the table.
    pub class: usize,
    /// Attempts used.
    pub attempts: u32,
    /// Its client never heard that it was taken on.
    pub withdrawn: bool,
    /// Its call that is out.
    pub out: Option<OutNow>,
}

/// All that a process knows beside the journal.
#[derive(Serialize, Deserialize)]
pub struct Handed {
    /// How far the journal goes that this was told beside.
    pub journal: Mark,
    /// The decision module.
    pub relay: Relay,
    /// The names that its numbers stand for.
    pub names: Names,
    /// The classes that are known, some by held messages alone.
    pub classes: Classes,
    /// Messages met so far.
    pub met: u64,
    /// What is held.
    pub held: Vec<HeldNow>,
    /// Where endpoints listen.
    pub addresses: Vec<(TargetId, Arc<str>)>,
    /// Destinations that were ever listed.
    pub destinations: Vec<i64>,
    /// Timers that the module set: when, and its token.
    pub timers: Vec<(Micros, u64)>,
    /// Ids that ended lately, and when.
    pub ended: Vec<(Micros, Arc<str>)>,
    /// The version of the destination set.
    #[serde(default)]
    pub revision: i64,
    /// Operators had the relay emptied.
    #[serde(default)]
    pub standby: bool,
}

impl Handed {
    /// The endpoints that are listed: the destination and the id of each, where the id begins with its destination as in an
    /// operator's file.
    pub fn endpoints(&self) -> Vec<(i64, String)> {
        let names = self.addresses.iter().filter_map(|(target, _)| self.names.target_name(*target));
        let destination =
            |name: &str| name.split_once('@').and_then(|(destination, _)| destination.parse().ok());
        names.filter_map(|name| Some((destination(name)?, name.to_string()))).collect()
    }
}

/// Asks the runtime to stop between two inputs and tell all it knows.
#[derive(Debug)]
pub struct Offer {
    /// What it knows.
    pub state: oneshot::Sender<Box<Handed>>,
    /// Comes when the other process has accepted; if it does not, the runtime goes on.
    pub accepted: oneshot::Receiver<()>,
}

/// What a runtime leaves to be finished: the calls that are out, and how each is called off.
pub type LeftOut = Vec<(OutNow, Option<oneshot::Sender<()>>)>;

impl std::fmt::Debug for Handed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handed").field("held", &self.held.len()).field("revision", &self.revision).finish()
    }
}

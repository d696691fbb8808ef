//! The store: what the relay has taken on, so that it outlasts the process, and what the record is still to be
//! told. Owns the one record model, its bytes, the replay and the journal. It must never decide what becomes of
//! a message, nor tell a write done before its bytes are out of the process.

mod book;
mod bytes;
mod error;
mod frames;
mod journal;
mod owner;
mod storage;
pub mod takeover;

use ::bytes::Bytes;
use record::model::{Effect, Evidence, Trace};
use serde::{Deserialize, Serialize};

use crate::exchange::{IdempotencyKey, NonDeliveryReport, Receipt};
use crate::interface::{Class, Decision, Micros};

pub use self::bytes::{decode, encode};
pub use error::StoreError;
pub use journal::{Journal, Mark, Room, TO_END, TO_END_RECORDED, mark};
pub use owner::{Owner, own};
pub use storage::{Folder, Storage};

/// A message as the store holds it. Class and tenant go by name, as their order may change between starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    /// The client's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: i64,
    /// Unix time in microseconds until which it may be delivered.
    pub due: Micros,
    /// Its idempotency key, if its client gave one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
    /// Attempts used.
    pub attempts: u32,
    /// An attempt may have run, or is out.
    pub may_have_run: bool,
    /// The terms of its class as it was taken on; none in what an older version wrote.
    pub terms: Option<Class>,
    /// Its life so far, where its end is to be recorded.
    pub trace: Option<Trace>,
}

/// An attempt that is about to start, where it is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// When.
    pub at: Micros,
    /// Where it goes.
    pub endpoint: String,
}

/// How an attempt ended, where it is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// When.
    pub at: Micros,
    /// In a word.
    pub result: String,
    /// Whether it took effect.
    pub effect: Effect,
    /// On what that rests.
    pub evidence: Evidence,
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A message was taken on; or is noted again, as it now stands.
    Taken(Stored),
    /// An attempt is about to start.
    Started {
        /// The message.
        id: String,
        /// Which attempt, counted from 0.
        attempt: u32,
        /// For the record.
        begun: Option<Begun>,
    },
    /// An attempt has ended.
    Outcome {
        /// The message.
        id: String,
        /// Which attempt.
        attempt: u32,
        /// It may have run.
        may_have_run: bool,
        /// For the record.
        heard: Option<Heard>,
    },
    /// Something was heard of an attempt that may end its message. Nothing is sent for that message any more.
    Heard {
        /// The message.
        id: String,
        /// Which attempt.
        attempt: u32,
        /// What that means for the message if nothing more comes.
        verdict: Decision,
    },
    /// The message is over; with the notice that is owed, if one is.
    Ended {
        /// The message.
        id: String,
        /// What the platform is to be told.
        notice: Option<NonDeliveryReport>,
    },
    /// The platform has acknowledged the notice.
    Acknowledged {
        /// The message.
        id: String,
    },
    /// A receipt was given or got.
    Receipt(Receipt),
    /// This is to be recorded in the database, and stays until it is.
    Entry {
        /// Its number.
        number: u64,
        /// The entry.
        bytes: Bytes,
    },
    /// The database has these entries.
    Recorded(Vec<u64>),
}

impl Record {
    /// The message, or what else it is about; nothing where it is about several.
    pub fn id(&self) -> &str {
        match self {
            Record::Taken(stored) => &stored.id,
            Record::Started { id, .. } | Record::Outcome { id, .. } | Record::Heard { id, .. } => id,
            Record::Ended { id, .. } | Record::Acknowledged { id } => id,
            Record::Receipt(receipt) => &receipt.key,
            Record::Entry { .. } | Record::Recorded(_) => "",
        }
    }
}

/// What a start finds: messages that are owed their end, and notices that are owed their acknowledgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// In the order taken.
    pub messages: Vec<Stored>,
    /// Messages that have ended or may have, by what was heard of their last attempt.
    pub heard: Vec<(Stored, Decision)>,
    /// Not acknowledged yet.
    pub notices: Vec<NonDeliveryReport>,
    /// Still remembered.
    pub receipts: Vec<Receipt>,
    /// Not known to be in the database, by number.
    pub entries: Vec<(u64, Bytes)>,
}

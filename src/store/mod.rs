//! The store: the journal of accepted messages and of entries for the database, so that both outlast the process. It holds
//! the journal's records, their encoding and their replay.
//!
//! Invariant: a write is reported as done only after its bytes have left the process.

mod bytes;
mod error;
mod folder_lock;
mod frames;
mod index;
mod journal;
mod storage;
pub mod takeover;

use ::bytes::Bytes;
use record::model::{Effect, Evidence, Trace};
use serde::{Deserialize, Serialize};

use crate::exchange::{IdempotencyKey, NonDeliveryReport, Receipt};
use crate::interface::{Class, Decision, Micros};

pub use self::bytes::{decode, encode};
pub use error::StoreError;
pub use folder_lock::{FolderLock, lock_folder};
pub use journal::{
    Journal, JournalLimits, JournalPosition, RESERVED_BYTES_PER_MESSAGE, RESERVED_BYTES_PER_RECORDED_MESSAGE,
    journal_position,
};
pub use storage::{Folder, Storage};

/// A message in the store. Class and tenant are stored by name, as their order may change between starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    /// The id that the client gave it.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: i64,
    /// Deadline of its delivery, as Unix time in microseconds.
    pub due: Micros,
    /// Its idempotency key, if its client gave one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
    /// Number of attempts that were started.
    pub attempts: u32,
    /// Whether an attempt may have run, or is in flight.
    pub may_have_run: bool,
    /// The terms of its class when it was accepted. `None` in records of older versions.
    pub terms: Option<Class>,
    /// Its history so far, if its end is to be recorded.
    pub trace: Option<Trace>,
}

/// The start of an attempt, as it is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// Unix time in microseconds.
    pub at: Micros,
    /// The endpoint's address.
    pub endpoint: String,
}

/// The end of an attempt, as it is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Unix time in microseconds.
    pub at: Micros,
    /// The result, in a word.
    pub result: String,
    /// Whether it took effect.
    pub effect: Effect,
    /// The evidence for the effect.
    pub evidence: Evidence,
}

/// A record of the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A message was accepted, or its present state was written again by compaction.
    Accepted(Stored),
    /// An attempt is about to start.
    Started {
        /// The message.
        id: String,
        /// Which attempt, counted from 0.
        attempt: u32,
        /// Details for the database, if the message is recorded there.
        start: Option<AttemptStart>,
    },
    /// An attempt has ended.
    Outcome {
        /// The message.
        id: String,
        /// Which attempt.
        attempt: u32,
        /// Whether it may have run.
        may_have_run: bool,
        /// Details for the database, if the message is recorded there.
        end: Option<AttemptEnd>,
    },
    /// The answer of an attempt decides what becomes of its message, although the attempt has not ended. Nothing more is
    /// sent for the message.
    Decided {
        /// The message.
        id: String,
        /// Which attempt.
        attempt: u32,
        /// The decision, if nothing more arrives.
        verdict: Decision,
    },
    /// The message has ended.
    Ended {
        /// The message.
        id: String,
        /// The non-delivery report that is due to the platform, if any.
        notice: Option<NonDeliveryReport>,
    },
    /// The platform has acknowledged the non-delivery report.
    Acknowledged {
        /// The message.
        id: String,
    },
    /// A receipt was sent or received.
    Receipt(Receipt),
    /// An entry that waits until it is written to the database.
    Entry {
        /// Its number.
        number: u64,
        /// The encoded entry.
        bytes: Bytes,
    },
    /// These entries are in the database.
    Recorded(Vec<u64>),
}

impl Record {
    /// The id of the message, or the key of the receipt, that it is about. Empty for entries.
    pub fn id(&self) -> &str {
        match self {
            Record::Accepted(stored) => &stored.id,
            Record::Started { id, .. } | Record::Outcome { id, .. } | Record::Decided { id, .. } => id,
            Record::Ended { id, .. } | Record::Acknowledged { id } => id,
            Record::Receipt(receipt) => &receipt.key,
            Record::Entry { .. } | Record::Recorded(_) => "",
        }
    }
}

/// The state that is restored at a start: everything in the journal that is not finished.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// Messages that have not ended, in the order of acceptance.
    pub messages: Vec<Stored>,
    /// Messages that have ended or may have, by the answer of their last attempt.
    pub decided: Vec<(Stored, Decision)>,
    /// Non-delivery reports that are not acknowledged.
    pub notices: Vec<NonDeliveryReport>,
    /// Receipts that have not expired.
    pub receipts: Vec<Receipt>,
    /// Entries that are not known to be in the database, with their numbers.
    pub entries: Vec<(u64, Bytes)>,
}

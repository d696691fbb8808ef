//! What a shell writes to its disk: the records from which a node starts again.

use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// Its place in the log, counted from 1.
    pub index: u64,
    /// What was proposed; empty for the entry by which a new leader starts its term.
    pub data: Vec<u8>,
}

/// What a node promised to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it knows.
    pub term: u64,
    /// For whom it voted in that term; 0 for nobody.
    pub vote: u64,
    /// The last index that it knows to be committed.
    pub commit: u64,
}

/// The state of the application after an entry, in the application's own encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it contains.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The state.
    pub data: Vec<u8>,
}

/// One record of a node's stable storage. They are written in the order in which they come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A snapshot came from the leader; it takes the place of the whole log.
    Installed(Snapshot),
    /// The application took a snapshot; the log stays.
    Snapshot(Snapshot),
    /// The log up to and with `index` is dropped; a snapshot has it.
    Compacted {
        /// The last index that was dropped.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// An entry is appended; it takes the place of all entries from its index on.
    Entry(Entry),
    /// The hard state changed.
    HardState(HardState),
}

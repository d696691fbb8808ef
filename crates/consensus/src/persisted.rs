//! What a node has on its disk, rebuilt record by record. The running node keeps the same structure by the same
//! records, so that there is one way to the state and not two.

use std::collections::VecDeque;

use thiserror::Error;

use crate::record::{Entry, HardState, Record, Snapshot};

/// The stable state of a node: the hard state, the latest snapshot, and the log from some index on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persisted {
    hard_state: HardState,
    snapshot: Snapshot,
    /// Index and term of the entry before the first one that is held.
    compacted: (u64, u64),
    entries: VecDeque<Entry>,
    entry_bytes: usize,
}

/// Why a record does not follow from those before it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// An entry leaves a gap, or would replace what was dropped.
    #[error("the entry {index} does not follow on a log of {first} to {last}")]
    Gap {
        /// The index of the entry.
        index: u64,
        /// The first index of the log.
        first: u64,
        /// The last index of the log.
        last: u64,
    },
    /// A snapshot is older than the one before it.
    #[error("the snapshot of entry {0} is older than the one before it")]
    OldSnapshot(u64),
    /// The log would be dropped up to an entry that it does not have.
    #[error("the log cannot be dropped up to entry {0}, which it does not have")]
    Compaction(u64),
    /// The log was dropped beyond the snapshot.
    #[error("the log is dropped up to entry {compacted}, but the snapshot ends with entry {snapshot}")]
    NoSnapshot {
        /// The last index dropped.
        compacted: u64,
        /// The last index of the snapshot.
        snapshot: u64,
    },
    /// More is committed than the log has.
    #[error("entry {commit} is committed, but the log ends with entry {last}")]
    Commit {
        /// The committed index.
        commit: u64,
        /// The last index of the log.
        last: u64,
    },
}

impl Persisted {
    /// The state after all records, in the order in which they were written.
    ///
    /// # Errors
    /// The first record that does not follow, or why the whole does not make sense.
    pub fn from_records(records: impl IntoIterator<Item = Record>) -> Result<Self, RecordError> {
        let mut persisted = Self::default();
        for record in records {
            persisted.apply(record)?;
        }
        persisted.check()?;
        Ok(persisted)
    }

    /// Takes in one record.
    ///
    /// # Errors
    /// It does not follow from those before it; then it has no effect.
    pub fn apply(&mut self, record: Record) -> Result<(), RecordError> {
        match record {
            Record::Installed(snapshot) => self.install(snapshot),
            Record::Snapshot(snapshot) => self.replace_snapshot(snapshot),
            Record::Compacted { index, term } => self.compact(index, term),
            Record::Entry(entry) => self.append(entry),
            Record::HardState(hard_state) => {
                self.hard_state = hard_state;
                Ok(())
            }
        }
    }

    /// The fewest records that lead to this state, as for a new file.
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        if self.compacted.0 > 0 {
            records.push(Record::Compacted { index: self.compacted.0, term: self.compacted.1 });
        }
        if self.snapshot.index > 0 {
            records.push(Record::Snapshot(self.snapshot.clone()));
        }
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        records.push(Record::HardState(self.hard_state));
        records
    }

    /// The latest snapshot; its index is 0 if there is none.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The first index that the log holds.
    pub fn first_index(&self) -> u64 {
        self.compacted.0 + 1
    }

    /// The last index of the log.
    pub fn last_index(&self) -> u64 {
        self.compacted.0 + self.entries.len() as u64
    }

    /// The entries that the log holds.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of data in the entries that the log holds.
    pub fn entry_bytes(&self) -> usize {
        self.entry_bytes
    }

    /// The hard state to start from. A crash may have come between an entry or a snapshot and the hard state of the
    /// same [`crate::Ready`]; what they imply is made up for here.
    pub fn hard_state(&self) -> HardState {
        let term = self.entries.back().map_or(0, |entry| entry.term).max(self.snapshot.term);
        let mut hard_state = self.hard_state;
        if term > hard_state.term {
            (hard_state.term, hard_state.vote) = (term, 0);
        }
        hard_state.commit = hard_state.commit.max(self.snapshot.index);
        hard_state
    }

    /// The term of the entry at that index, if it is still known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.compacted.0 {
            return Some(self.compacted.1);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at that index, if the log holds it.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Whether the records make sense as a whole.
    pub(crate) fn check(&self) -> Result<(), RecordError> {
        let (compacted, snapshot) = (self.compacted.0, self.snapshot.index);
        if compacted > snapshot {
            return Err(RecordError::NoSnapshot { compacted, snapshot });
        }
        let (commit, last) = (self.hard_state().commit, self.last_index());
        if commit > last {
            return Err(RecordError::Commit { commit, last });
        }
        Ok(())
    }

    fn install(&mut self, snapshot: Snapshot) -> Result<(), RecordError> {
        if snapshot.index <= self.snapshot.index {
            return Err(RecordError::OldSnapshot(snapshot.index));
        }
        self.entries.clear();
        self.entry_bytes = 0;
        self.compacted = (snapshot.index, snapshot.term);
        self.snapshot = snapshot;
        Ok(())
    }

    fn replace_snapshot(&mut self, snapshot: Snapshot) -> Result<(), RecordError> {
        if snapshot.index <= self.snapshot.index {
            return Err(RecordError::OldSnapshot(snapshot.index));
        }
        self.snapshot = snapshot;
        Ok(())
    }

    fn compact(&mut self, index: u64, term: u64) -> Result<(), RecordError> {
        let fresh = self.entries.is_empty() && self.compacted.0 == 0;
        if !fresh && self.term(index) != Some(term) {
            return Err(RecordError::Compaction(index));
        }
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            let dropped = self.entries.pop_front();
            self.entry_bytes -= dropped.map_or(0, |entry| entry.data.len());
        }
        self.compacted = (index, term);
        Ok(())
    }

    fn append(&mut self, entry: Entry) -> Result<(), RecordError> {
        let (first, last) = (self.first_index(), self.last_index());
        if entry.index < first || entry.index > last + 1 {
            return Err(RecordError::Gap { index: entry.index, first, last });
        }
        while self.entries.back().is_some_and(|held| held.index >= entry.index) {
            let replaced = self.entries.pop_back();
            self.entry_bytes -= replaced.map_or(0, |held| held.data.len());
        }
        self.entry_bytes += entry.data.len();
        self.entries.push_back(entry);
        Ok(())
    }
}

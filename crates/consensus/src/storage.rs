//! The log as raft-rs reads it: [`Persisted`] behind its `Storage` trait, and the two forms of entries and states.

use protobuf::Message as _;
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, StorageError};

use crate::config::NodeId;
use crate::persisted::Persisted;
use crate::record::{Entry, HardState, Snapshot};

/// A node's stable state and the fixed set of voters.
#[derive(Debug)]
pub(crate) struct Storage {
    pub(crate) persisted: Persisted,
    voters: eraftpb::ConfState,
}

impl Storage {
    pub(crate) fn new(persisted: Persisted, voters: &[NodeId]) -> Self {
        let mut voters: Vec<u64> = voters.iter().map(|voter| voter.0).collect();
        voters.sort_unstable();
        Storage { persisted, voters: eraftpb::ConfState { voters, ..Default::default() } }
    }

    /// Whether a snapshot of another node was taken in this cluster.
    pub(crate) fn has_voters(&self, of_snapshot: &eraftpb::ConfState) -> bool {
        let mut of_snapshot = of_snapshot.clone();
        of_snapshot.voters.sort_unstable();
        of_snapshot == self.voters
    }
}

impl raft::Storage for Storage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(hard_state_to_raft(self.persisted.hard_state()), self.voters.clone()))
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low < self.persisted.first_index() {
            return Err(StorageError::Compacted.into());
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let (mut entries, mut size) = (Vec::new(), 0);
        for index in low..high {
            let entry = self.persisted.entry(index).ok_or(StorageError::Unavailable)?;
            let entry = entry_to_raft(entry);
            size += u64::from(entry.compute_size());
            if size > most && !entries.is_empty() {
                break;
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index + 1 < self.persisted.first_index() {
            return Err(StorageError::Compacted.into());
        }
        Ok(self.persisted.term(index).ok_or(StorageError::Unavailable)?)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.persisted.first_index())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.persisted.last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<eraftpb::Snapshot> {
        let snapshot = self.persisted.snapshot();
        if snapshot.index == 0 || snapshot.index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        let metadata = eraftpb::SnapshotMetadata {
            index: snapshot.index,
            term: snapshot.term,
            conf_state: Some(self.voters.clone()).into(),
            ..Default::default()
        };
        let data = snapshot.data.clone().into();
        Ok(eraftpb::Snapshot { data, metadata: Some(metadata).into(), ..Default::default() })
    }
}

pub(crate) fn entry_from_raft(entry: &eraftpb::Entry) -> Entry {
    Entry { term: entry.term, index: entry.index, data: entry.data.to_vec() }
}

pub(crate) fn hard_state_from_raft(state: &eraftpb::HardState) -> HardState {
    HardState { term: state.term, vote: state.vote, commit: state.commit }
}

pub(crate) fn snapshot_from_raft(snapshot: &eraftpb::Snapshot) -> Snapshot {
    let metadata = snapshot.get_metadata();
    Snapshot { index: metadata.index, term: metadata.term, data: snapshot.data.to_vec() }
}

fn entry_to_raft(entry: &Entry) -> eraftpb::Entry {
    eraftpb::Entry {
        term: entry.term,
        index: entry.index,
        data: entry.data.clone().into(),
        ..Default::default()
    }
}

fn hard_state_to_raft(state: HardState) -> eraftpb::HardState {
    eraftpb::HardState { term: state.term, vote: state.vote, commit: state.commit, ..Default::default() }
}

//! Snapshots under way to other nodes. raft-rs sends nothing else to a node until it hears what became of the snapshot;
//! as a message may be lost, one that is not acknowledged in time counts as failed and is sent again.

use std::collections::BTreeMap;

use raft::{ProgressState, RawNode, SnapshotStatus};

use crate::Micros;
use crate::storage::Storage;

/// When a snapshot was last sent, by node.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    sent: BTreeMap<u64, Micros>,
}

impl Snapshots {
    pub(crate) fn sent(&mut self, now_us: Micros, to: u64) {
        self.sent.insert(to, now_us);
    }

    /// Tells raft-rs of those that were sent longer ago than the patience, and forgets those that arrived.
    pub(crate) fn give_up(&mut self, now_us: Micros, patience: Micros, node: &mut RawNode<Storage>) {
        let progress = node.raft.prs();
        self.sent.retain(|to, _| {
            progress.get(*to).is_some_and(|progress| progress.state == ProgressState::Snapshot)
        });
        let late: Vec<u64> =
            self.sent.iter().filter(|(_, sent)| now_us - **sent >= patience).map(|(to, _)| *to).collect();
        for to in late {
            self.sent.remove(&to);
            node.report_snapshot(to, SnapshotStatus::Failure);
        }
    }
}

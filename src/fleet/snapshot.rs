//! The snapshot of observations, a file beside the journal from which the next start restores them.
//!
//! Invariants: the file never exceeds its size limit, and an interrupted write leaves the old file.

use std::path::{Path, PathBuf};

use peers::observation::Observation;
use peers::table::ObservationTable;

use super::state_file;
use crate::interface::Micros;

/// Interval between snapshots, in microseconds.
const WRITE_INTERVAL: Micros = 2_000_000;
/// Delay of the snapshot after a failure began or ended, or a report of that arrived, in microseconds.
const CHANGE_WRITE_DELAY: Micros = 100_000;
/// Maximum size of an observation in the file, in bytes.
const MAX_FACT_BYTES: u64 = 192;

/// The snapshot's file, and when it is due.
pub(super) struct Snapshot {
    file: PathBuf,
    max_observations: usize,
    due: Micros,
}

impl Snapshot {
    /// The snapshot in a state folder, of at most `room` bytes.
    pub(super) fn new(state: &Path, room: u64, now: Micros) -> Self {
        let max_observations = usize::try_from(room / MAX_FACT_BYTES).unwrap_or(usize::MAX);
        Snapshot { file: state.join("facts"), max_observations, due: now + WRITE_INTERVAL }
    }

    /// The observations that an earlier process wrote.
    pub(super) fn read(&self) -> Vec<Observation> {
        state_file::read(&self.file)
    }

    /// Brings the next snapshot forward after an important change.
    pub(super) fn write_soon(&mut self, now: Micros) {
        self.due = self.due.min(now + CHANGE_WRITE_DELAY);
    }

    /// When the next snapshot is due.
    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Writes the observations that are in effect, if a snapshot is due. The most significant ones are kept if not all fit.
    pub(super) fn write_if_due(&mut self, now: Micros, ledger: &ObservationTable) {
        if now < self.due {
            return;
        }
        self.due = now + WRITE_INTERVAL;
        let significant = |fact: &Observation| fact.observed.impact(now) >= 1.0;
        let mut persisted: Vec<Observation> = ledger.all_actionable(now).filter(significant).collect();
        persisted.sort_by(|a, b| b.observed.impact(now).total_cmp(&a.observed.impact(now)));
        persisted.truncate(self.max_observations);
        // An error is logged by the callee, and the next snapshot is written in any case.
        let _ = state_file::write(&self.file, &persisted);
    }
}

//! What is believed, kept beside the journal for the next start. Owns that file. It must never take more than its room,
//! nor leave half a file.

use std::path::{Path, PathBuf};

use peers::observation::Observation;
use peers::table::ObservationTable;

use super::kept;
use crate::interface::Micros;

/// It is written so often, and so soon after a trouble that began or ended, or news of one.
const EVERY: Micros = 2_000_000;
const SOON: Micros = 100_000;
/// What a fact takes at the most, in bytes.
const FACT_BYTES: u64 = 192;

/// The snapshot's file, and when it is written next.
pub(super) struct Snapshot {
    file: PathBuf,
    most: usize,
    due: Micros,
}

impl Snapshot {
    /// The snapshot of a state folder, of at most so many bytes.
    pub(super) fn new(state: &Path, room: u64, now: Micros) -> Self {
        let most = usize::try_from(room / FACT_BYTES).unwrap_or(usize::MAX);
        Snapshot { file: state.join("facts"), most, due: now + EVERY }
    }

    /// What an earlier process kept.
    pub(super) fn read(&self) -> Vec<Observation> {
        kept::read(&self.file)
    }

    /// Something turned: it is written soon.
    pub(super) fn soon(&mut self, now: Micros) {
        self.due = self.due.min(now + SOON);
    }

    /// When it is written next.
    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Writes what is acted on, if it is time; a kill leaves the old one or the new one.
    pub(super) fn keep_if_due(&mut self, now: Micros, ledger: &ObservationTable) {
        if now < self.due {
            return;
        }
        self.due = now + EVERY;
        let worth_it = |fact: &Observation| fact.observed.impact(now) >= 1.0;
        let mut kept: Vec<Observation> = ledger.all_actionable(now).filter(worth_it).collect();
        kept.sort_by(|a, b| b.observed.impact(now).total_cmp(&a.observed.impact(now)));
        kept.truncate(self.most);
        // The next one is written in any case.
        let _ = kept::write(&self.file, &kept);
    }
}

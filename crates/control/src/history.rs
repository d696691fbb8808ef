//! The way back: for each of the latest changes, the operations that undo it.

use std::collections::VecDeque;

use destinations::Operation;
use serde::{Deserialize, Serialize};

/// Changes that can be undone. A rollback is one change and so has at most 64 operations; more could not be used.
const MAX_CHANGES: usize = 64;

/// The operations that undo one change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Undo {
    /// The number of the change.
    pub(crate) number: u64,
    /// What undoes it.
    pub(crate) operations: Vec<Operation>,
}

/// The latest changes, the oldest first, their numbers without a gap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History(VecDeque<Undo>);

impl History {
    pub(crate) fn push(&mut self, number: u64, operations: Vec<Operation>) {
        self.0.push_back(Undo { number, operations });
        while self.0.len() > MAX_CHANGES {
            self.0.pop_front();
        }
    }

    /// The operations that undo all changes after that number, the newest first; none if there are no such changes or
    /// not all of them are kept.
    pub(crate) fn back_to(&self, number: u64) -> Option<Vec<Operation>> {
        let undone = || self.0.iter().rev().take_while(|undo| undo.number > number);
        let oldest = undone().last()?;
        if oldest.number != number + 1 {
            return None;
        }
        Some(undone().flat_map(|undo| undo.operations.iter().cloned()).collect())
    }
}

//! What became of proposals. The latest are kept, so that one that comes again is not taken again.

use std::collections::{BTreeMap, VecDeque};

use destinations::{ApplyError, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::proposal::ProposalId;

/// Proposals whose outcome is kept: more than two days of 1,600 changes.
pub const MAX_OUTCOMES: usize = 4096;

/// What became of a proposal; the same on every control machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is the change of that version.
    Published(Version),
    /// It changed nothing.
    Refused(Refusal),
}

/// Why a committed proposal changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The entry is no proposal of this build.
    #[error("the committed entry is no proposal")]
    Malformed,
    /// The operations do not apply to the set; the text is that of [`ApplyError`].
    #[error("the operations do not apply: {0}")]
    DoesNotApply(String),
    /// The version to go back to is not before the present one, or so long ago that the way back is not kept.
    #[error("there is no way back from change {have} to change {to}")]
    NoWayBack {
        /// The number of the present change.
        have: u64,
        /// The number to go back to.
        to: u64,
    },
}

impl From<ApplyError> for Refusal {
    fn from(error: ApplyError) -> Self {
        Refusal::DoesNotApply(error.to_string())
    }
}

/// The outcomes of the latest proposals, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcomes {
    by_id: BTreeMap<ProposalId, Outcome>,
    /// The ids, the oldest first.
    order: VecDeque<ProposalId>,
}

impl Outcomes {
    pub(crate) fn get(&self, id: ProposalId) -> Option<&Outcome> {
        self.by_id.get(&id)
    }

    /// Keeps an outcome, and lets go of the oldest beyond the limit.
    pub(crate) fn insert(&mut self, id: ProposalId, outcome: Outcome) {
        if self.by_id.insert(id, outcome).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_OUTCOMES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.by_id.remove(&oldest);
        }
    }

    /// All, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProposalId, &Outcome)> {
        self.order.iter().filter_map(|id| Some((*id, self.by_id.get(id)?)))
    }
}

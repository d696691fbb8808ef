//! The state as the bytes of a snapshot of the consensus.

use destinations::persist::{self, Decoder, FileError};
use destinations::{ChangeLog, DecodeError, DestinationSet, SignedChange, SigningKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::history::History;
use crate::outcome::{Outcome, Outcomes};
use crate::proposal::ProposalId;
use crate::state::{ControlState, LOG_LIMITS};

/// The head of a snapshot; the set follows in the form of [`persist`].
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    /// The signed change that led to the set; empty before the first.
    newest: Vec<u8>,
    history: History,
    /// The oldest first.
    outcomes: Vec<(ProposalId, Outcome)>,
}

/// The state of a snapshot, before the changes that follow it.
#[derive(Debug)]
pub struct Restored {
    /// The set.
    pub set: DestinationSet,
    /// The signed change that led to it; none before the first.
    pub newest: Option<SignedChange>,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RestoreError {
    /// The head is cut, or something else.
    #[error("the snapshot has no sound head")]
    Head,
    /// The last change is none.
    #[error("the snapshot has no sound last change: {0}")]
    Change(#[from] DecodeError),
    /// The set is not sound.
    #[error("the snapshot has no sound set: {0}")]
    Set(#[from] FileError),
}

impl ControlState {
    /// The state as bytes: the same on every machine that applied the same entries since the same start.
    pub fn encode(&self) -> Vec<u8> {
        let head = Head {
            newest: self.log.last().map(SignedChange::encode).unwrap_or_default(),
            history: self.history.clone(),
            outcomes: self.outcomes.iter().map(|(id, outcome)| (id, outcome.clone())).collect(),
        };
        // postcard fails here only if memory does.
        let mut bytes = postcard::to_allocvec(&head).unwrap_or_default();
        persist::encode(&self.set).for_each(|piece| bytes.extend(piece));
        bytes
    }

    /// The state of a snapshot. Of the latest changes it has the last alone.
    ///
    /// # Errors
    /// The bytes are no snapshot.
    pub fn restore(key: SigningKey, bytes: &[u8]) -> Result<Self, RestoreError> {
        let (head, set) = postcard::take_from_bytes::<Head>(bytes).map_err(|_| RestoreError::Head)?;
        let set = decode_set(set)?;
        let mut log = ChangeLog::new(set.version(), LOG_LIMITS);
        if !head.newest.is_empty() {
            log.reset(set.version(), SignedChange::decode(&head.newest)?);
        }
        let mut outcomes = Outcomes::default();
        head.outcomes.into_iter().for_each(|(id, outcome)| outcomes.insert(id, outcome));
        Ok(ControlState { key, set, log, history: head.history, outcomes })
    }

    /// Another set of the same content and its change, for the node that distributes them. A set has no other copy than
    /// through its bytes.
    pub(crate) fn restored(&self) -> Result<Restored, RestoreError> {
        let mut decoder = Decoder::new();
        persist::encode(&self.set).try_for_each(|piece| decoder.push(&piece))?;
        Ok(Restored { set: decoder.finish()?, newest: self.log.last().cloned() })
    }
}

fn decode_set(bytes: &[u8]) -> Result<DestinationSet, FileError> {
    let mut decoder = Decoder::new();
    decoder.push(bytes)?;
    decoder.finish()
}

//! A control machine without I/O: the consensus and the state that follows from it.

use consensus::{
    Config, Consensus, Micros, NodeId, Persisted, ProposeError, ReceiveError, Record, StartError,
};
use destinations::{SignedChange, SigningKey};
use thiserror::Error;

use crate::outcome::Outcome;
use crate::proposal::{Proposal, ProposalError, ProposalId};
use crate::snapshot::{RestoreError, Restored};
use crate::state::ControlState;

/// When the log of the consensus is replaced by a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compaction {
    /// Entries after which a snapshot is taken.
    pub every: u64,
    /// Entries before the snapshot that stay, so that a machine a little behind needs no snapshot.
    pub kept: u64,
}

impl Default for Compaction {
    /// About two snapshots a day at 1,600 changes; half a snapshot's entries stay.
    fn default() -> Self {
        Compaction { every: 1000, kept: 500 }
    }
}

/// What the shell has to do now: write and fsync `persist`, then send `messages`, then the rest.
#[derive(Debug, Default)]
pub struct Work {
    /// Records for the stable storage, in order.
    pub persist: Vec<Record>,
    /// Encoded messages by receiver.
    pub messages: Vec<(NodeId, Vec<u8>)>,
    /// The state was replaced by that of a snapshot: what distributes it has to start anew from it, before `published`.
    pub restored: Option<Restored>,
    /// Changes to publish, in order.
    pub published: Vec<SignedChange>,
    /// What became of proposals.
    pub outcomes: Vec<(ProposalId, Outcome)>,
}

/// What became of a proposal when it was handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It was taken before, and this became of it.
    Known(Outcome),
    /// It is under way; its outcome comes with [`Work::outcomes`], or never if this machine ceases to lead.
    UnderWay,
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// It has no encoding.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The consensus did not take it.
    #[error(transparent)]
    Consensus(#[from] ProposeError),
}

/// Why a machine cannot start or go on.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The consensus does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A snapshot cannot be read.
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// A control machine. As with [`Consensus`], each call says that the last `persist` is on the disk.
#[derive(Debug)]
pub struct Machine {
    consensus: Consensus,
    state: ControlState,
    key: SigningKey,
    compaction: Compaction,
    /// The index of the last entry that `state` has.
    applied: u64,
}

impl Machine {
    /// A machine that starts from its disk. Its state comes with the first calls of [`Machine::poll`].
    ///
    /// # Errors
    /// The configuration or the records are not usable.
    pub fn new(
        config: Config, persisted: Persisted, key: SigningKey, compaction: Compaction,
    ) -> Result<Self, MachineError> {
        let consensus = Consensus::new(config, persisted)?;
        Ok(Machine { consensus, state: ControlState::new(key.clone()), key, compaction, applied: 0 })
    }

    /// Hands in a proposal; only the leader takes it.
    ///
    /// # Errors
    /// It was not taken.
    pub fn submit(&mut self, now_us: Micros, proposal: &Proposal) -> Result<Submission, SubmitError> {
        if let Some(outcome) = self.state.outcome(proposal.id) {
            return Ok(Submission::Known(outcome.clone()));
        }
        self.consensus.propose(now_us, proposal.encode()?)?;
        Ok(Submission::UnderWay)
    }

    /// Takes an encoded message of another control machine.
    ///
    /// # Errors
    /// Why it has no effect.
    pub fn receive(&mut self, now_us: Micros, from: NodeId, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.consensus.receive(now_us, from, bytes)
    }

    /// Lets the time pass and says what there is to do.
    ///
    /// # Errors
    /// A snapshot of the disk or of the leader cannot be read; the machine must not go on.
    pub fn poll(&mut self, now_us: Micros) -> Result<Work, MachineError> {
        self.compact_if_due();
        let ready = self.consensus.poll(now_us);
        let mut work = Work { persist: ready.persist, messages: ready.messages, ..Work::default() };
        if let Some(snapshot) = ready.restore {
            self.state = ControlState::restore(self.key.clone(), &snapshot.data)?;
            self.applied = snapshot.index;
            work.restored = Some(self.state.restored()?);
        }
        for entry in &ready.committed {
            let committed = self.state.apply(entry);
            self.applied = entry.index;
            work.published.extend(committed.signed);
            work.outcomes.extend(committed.id.map(|id| (id, committed.outcome)));
        }
        Ok(work)
    }

    /// When [`Machine::poll`] has something to do next.
    pub fn next_at(&self, now_us: Micros) -> Micros {
        self.consensus.next_at(now_us)
    }

    /// The consensus, for its status.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// The state as of the last committed entry that is known here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Replaces the log by a snapshot when it is long enough. This comes before the poll of the consensus and not after
    /// it, because every call of the consensus says that what was handed out is written.
    fn compact_if_due(&mut self) {
        let taken = self.consensus.persisted().snapshot().index;
        if self.applied >= taken + self.compaction.every {
            // A snapshot beyond the bound leaves the log as it is, until proposals are refused; status shows its length.
            let _ = self.consensus.compact(self.applied, self.compaction.kept, self.state.encode());
        }
    }
}

//! The state that every control machine derives from the log of the consensus: the same changes, byte for byte.

use consensus::Entry;
use destinations::{
    Change, ChangeLog, DestinationSet, Digest, LogLimits, Operation, SignedChange, SigningKey, Version,
};

use crate::history::History;
use crate::outcome::{Outcome, Outcomes, Refusal};
use crate::proposal::{Command, Proposal, ProposalId};

/// Signed changes that are kept: three days of 1,600 changes.
pub const LOG_LIMITS: LogLimits = LogLimits { changes: 4800, bytes: 2 << 20 };

/// What a committed entry came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The proposal; none if the entry is no proposal.
    pub id: Option<ProposalId>,
    /// What became of it.
    pub outcome: Outcome,
    /// The change to publish. None if the proposal was refused or had been taken before.
    pub signed: Option<SignedChange>,
}

/// The destination set, its latest changes, and what became of the latest proposals.
///
/// Number, digests and signature of a change follow from the entries alone: numbers are consecutive, digests are those of
/// the set, and Ed25519 (RFC 8032) signs without chance. All machines hold the one key of the cluster.
#[derive(Debug)]
pub struct ControlState {
    pub(crate) key: SigningKey,
    pub(crate) set: DestinationSet,
    pub(crate) log: ChangeLog,
    pub(crate) history: History,
    pub(crate) outcomes: Outcomes,
}

impl ControlState {
    /// The state before the first entry.
    pub fn new(key: SigningKey) -> Self {
        ControlState {
            key,
            set: DestinationSet::new(),
            log: ChangeLog::new(Version::default(), LOG_LIMITS),
            history: History::default(),
            outcomes: Outcomes::default(),
        }
    }

    /// Takes on a committed entry. Entries come in the order of the log, each once.
    pub fn apply(&mut self, entry: &Entry) -> Committed {
        let Ok(proposal) = Proposal::decode(&entry.data) else {
            return Committed { id: None, outcome: Outcome::Refused(Refusal::Malformed), signed: None };
        };
        let id = proposal.id;
        if let Some(outcome) = self.outcomes.get(id) {
            return Committed { id: Some(id), outcome: outcome.clone(), signed: None };
        }
        let (outcome, signed) = match self.run(proposal.command) {
            Ok((version, signed)) => (Outcome::Published(version), Some(signed)),
            Err(refusal) => (Outcome::Refused(refusal), None),
        };
        self.outcomes.insert(id, outcome.clone());
        Committed { id: Some(id), outcome, signed }
    }

    /// The set as of the last entry.
    pub fn set(&self) -> &DestinationSet {
        &self.set
    }

    /// The latest signed changes.
    pub fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// The version of the set.
    pub fn version(&self) -> Version {
        self.set.version()
    }

    /// The digest of the set.
    pub fn digest(&self) -> Digest {
        self.set.digest()
    }

    /// What became of a proposal, if it is one of the latest.
    pub fn outcome(&self, id: ProposalId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    fn run(&mut self, command: Command) -> Result<(Version, SignedChange), Refusal> {
        let operations = self.operations_of(command)?;
        let undo = self.set.inverse(&operations)?;
        let change = self.set.prepare(operations)?;
        let signed = self.take_on(&change)?;
        self.history.push(change.version.number, undo);
        Ok((change.version, signed))
    }

    fn operations_of(&self, command: Command) -> Result<Vec<Operation>, Refusal> {
        match command {
            Command::Publish(operations) => Ok(operations),
            Command::Rollback { to } => {
                let have = self.version().number;
                self.history.back_to(to).ok_or(Refusal::NoWayBack { have, to })
            }
        }
    }

    /// Signs a prepared change, applies it to the set and keeps it.
    fn take_on(&mut self, change: &Change) -> Result<SignedChange, Refusal> {
        let refused = |error: &dyn std::error::Error| Refusal::DoesNotApply(error.to_string());
        let signed = SignedChange::sign(change, &self.key).map_err(|error| refused(&error))?;
        self.set.apply(change)?;
        self.log.push(change.version, signed.clone()).map_err(|error| refused(&error))?;
        Ok(signed)
    }
}

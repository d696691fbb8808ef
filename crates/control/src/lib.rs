//! A control machine of the fleet: it agrees with the others on the changes of the destination set and publishes them.
//!
//! An operator's [`Proposal`] goes through the consensus. [`ControlState`] turns each committed entry into a numbered
//! change, its digests and its signature, without I/O and without a clock, so that every control machine derives the same
//! bytes. [`Machine`] puts the state and the consensus together.
//!
//! Modules depend one way: `proposal`, `outcome` ← `history` ← `state` ← `snapshot` ← `machine` ← [`shell`], which has all I/O.
#![forbid(unsafe_code)]

mod history;
mod machine;
mod outcome;
mod proposal;
pub mod shell;
mod snapshot;
mod state;

pub use machine::{Compaction, Machine, MachineError, Submission, SubmitError, Work};
pub use outcome::{MAX_OUTCOMES, Outcome, Refusal};
pub use proposal::{Command, MAX_PROPOSAL_BYTES, Proposal, ProposalError, ProposalId};
pub use snapshot::{RestoreError, Restored};
pub use state::{Committed, ControlState, LOG_LIMITS};

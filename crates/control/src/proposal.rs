//! What an operator asks for, and its bytes in the log of the consensus.

use std::fmt;
use std::str::FromStr;

use destinations::{MAX_CHANGE_BYTES, Operation};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most bytes of an encoded proposal: the operations of one change, and its head.
pub const MAX_PROPOSAL_BYTES: usize = MAX_CHANGE_BYTES + 64;

/// Bytes of an id.
const ID_BYTES: usize = 16;

/// Names a proposal. One that comes again by the same id, as after a timeout, is taken once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ProposalId(pub [u8; ID_BYTES]);

/// What a proposal does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes these operations as one change.
    Publish(Vec<Operation>),
    /// Undoes all changes after that number of the epoch, as one change of its own.
    Rollback {
        /// The number of the last change that stays.
        to: u64,
    },
}

/// A command under a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Its name.
    pub id: ProposalId,
    /// What it does.
    pub command: Command,
}

/// Why bytes or text are no proposal.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// More than [`MAX_PROPOSAL_BYTES`].
    #[error("{0} bytes exceed {MAX_PROPOSAL_BYTES}")]
    TooLong(usize),
    /// The bytes are cut, or something else.
    #[error("the bytes are no proposal")]
    Malformed,
    /// An id is not 32 hexadecimal digits.
    #[error("the id is not 32 hexadecimal digits")]
    Id,
}

impl Proposal {
    /// Its bytes: the id, then the command in postcard.
    ///
    /// # Errors
    /// It is longer than [`MAX_PROPOSAL_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, ProposalError> {
        let command = postcard::to_allocvec(&self.command).map_err(|_| ProposalError::Malformed)?;
        let bytes = [&self.id.0[..], &command].concat();
        if bytes.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposalError::TooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Takes what [`Proposal::encode`] gave.
    ///
    /// # Errors
    /// The bytes are too many, cut, followed by others, or no proposal.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProposalError> {
        if bytes.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposalError::TooLong(bytes.len()));
        }
        let (id, command) = bytes.split_first_chunk::<ID_BYTES>().ok_or(ProposalError::Malformed)?;
        let (command, rest) = postcard::take_from_bytes(command).map_err(|_| ProposalError::Malformed)?;
        if !rest.is_empty() {
            return Err(ProposalError::Malformed);
        }
        Ok(Proposal { id: ProposalId(*id), command })
    }
}

impl fmt::Display for ProposalId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ProposalId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for ProposalId {
    type Err = ProposalError;

    fn from_str(text: &str) -> Result<Self, ProposalError> {
        let hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * ID_BYTES || !hexadecimal {
            return Err(ProposalError::Id);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| ProposalError::Id)?;
        Ok(ProposalId(number.to_be_bytes()))
    }
}

impl TryFrom<String> for ProposalId {
    type Error = ProposalError;

    fn try_from(text: String) -> Result<Self, ProposalError> {
        text.parse()
    }
}

impl From<ProposalId> for String {
    fn from(id: ProposalId) -> Self {
        id.to_string()
    }
}

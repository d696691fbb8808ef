//! Agreement of a few control machines on a log, without I/O and without a clock of its own.
//!
//! The algorithm is Raft, by the crate [`raft`] (the raft-rs of TiKV); this crate adds no rules of agreement. It turns
//! raft-rs into a deterministic state machine that a shell drives: encoded messages and the time go in, and [`Ready`]
//! comes out with records to write, messages to send and committed entries to apply.
//!
//! ```text
//!     receive, propose ─▶ Consensus ─poll─▶ Ready { persist, messages, restore, committed }
//!                                             1. write and fsync   2. send   3. apply
//! ```
//!
//! Modules depend one way: `config`, `record` ← `persisted` ← `storage` ← `check`, `contact`, `envelope`, `reads`, `snapshots` ← `node`.
#![forbid(unsafe_code)]

mod check;
mod config;
mod contact;
mod envelope;
mod node;
mod persisted;
mod reads;
mod record;
mod snapshots;
mod storage;

pub use check::ReceiveError;
pub use config::{Config, ConfigError, NodeId};
pub use node::{CompactError, Consensus, Counts, ProposeError, Ready, StartError};
pub use persisted::{Persisted, RecordError};
pub use record::{Entry, HardState, Record, Snapshot};

/// A time of the shell's monotonic clock, or a span of it, in microseconds.
pub type Micros = i64;

/// The longest proposal, in bytes.
pub const MAX_PROPOSAL_BYTES: usize = 256 * 1024;
/// The longest snapshot of the application, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;
/// The longest encoded message, in bytes: a snapshot with its envelope.
pub const MAX_MESSAGE_BYTES: usize = MAX_SNAPSHOT_BYTES + 64 * 1024;
/// Entries that the log holds before proposals are refused; [`Consensus::compact`] makes room.
pub const MAX_LOG_ENTRIES: usize = 100_000;
/// Bytes of entries that the log holds before proposals are refused; [`Consensus::compact`] makes room.
pub const MAX_LOG_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of proposals that may wait for a quorum.
pub const MAX_UNCOMMITTED_BYTES: usize = 4 * 1024 * 1024;

//! Estimates of how long the waiting messages of a destination will wait, so that hopeless ones can be given up early.
//!
//! [`backlog::Backlog`] follows what waits for one destination, by priority, at one relay or at all relays that report to
//! a coordinator, together with the rates at which messages arrive and calls start. From these it estimates
//! [`waits::MinimumWaits`]: for each priority, the time that a message of it waits now at least. Which messages are given
//! up because of that is decided by the relay's decision module, not here.
//!
//! Arithmetic without I/O: counts and the time go in, waits come out. Invariants: no wait is estimated before calls have
//! been seen to start, and one relay's reports move the estimates for others by no more than a bounded share.
//!
//! Dependencies point one way: `waits` ← `backlog`.
#![forbid(unsafe_code)]

pub mod backlog;
pub mod waits;

pub use fleet::{Micros, Peer, SECOND};

/// Number of waiting messages for each priority (in thousandths), highest priority first.
pub type WaitingByPriority = [(u16, u8)];

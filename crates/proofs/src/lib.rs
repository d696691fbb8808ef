//! Proofs: relays as processes on loopback, partners that note every effect, clients that note every answer,
//! and faults drawn from a seed. Owns the stand-ins and the counting. It must never take the relay's word for
//! what a partner did.
#![forbid(unsafe_code)]

pub mod backlog;
pub mod load;
pub mod partner;
pub mod record;
pub mod relay;
pub mod rows;
pub mod tier;
pub mod warm_start;

/// Why a proof could not be run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

//! What relays tell each other: facts of destinations that age, whom to believe, who is there, and how all of it
//! fits into datagrams of 256 bytes that may be lost, doubled, late or forged.
//!
//! Nothing here opens a socket or reads a clock. [`node::Node`] takes datagrams, the time and what this relay saw
//! itself, and gives back datagrams to send and what may be believed. [`fact`] has the facts and how they age,
//! [`ledger`] merges them, [`trust`] weighs their sources, [`note`] is the wire, [`members`] knows who is there, [`witness`] puts
//! what this relay's own calls show into facts.
//!
//! Dependencies point one way: `fact` ← `trust`, `note` ← `ledger`, `members` ← `node`.
#![forbid(unsafe_code)]

pub mod fact;
pub mod ledger;
pub mod members;
pub mod node;
pub mod note;
pub mod trust;
pub mod witness;

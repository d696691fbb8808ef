//! The store of record: every final answer of a relay as one row that can be queried, in SQLite or PostgreSQL.
//!
//! The relay's journal is the write-ahead log and the only thing that a message waits for. What is to be
//! recorded lies there as an [`model::Entry`] under a number until [`service`] tells that it is written. An
//! entry may be written more than once, and comes to one row by its key. The decisions of that writer are
//! [`writer::Writer`], a state machine without I/O; [`store`] turns entries into rows, [`sql`] speaks to either
//! database, and [`query`] answers questions.
//!
//! Dependencies point one way: `model` ← `writer` ← `sql` ← `store` ← `query`, `service`.
#![forbid(unsafe_code)]

pub mod model;
pub mod query;
pub mod service;
pub mod sql;
pub mod store;
pub mod writer;

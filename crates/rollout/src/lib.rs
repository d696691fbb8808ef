//! Distribution of numbered changes from the control machines to every relay.
//!
//! [`layout`] numbers the machines of an operator's file; [`topology`] fixes their order and each relay's candidates for
//! an upstream. A relay keeps leased
//! subscriptions at two of them (`subscription`, `subscribers`), to which new changes are pushed at once (`push`).
//! Who lags behind asks for the changes that it lacks (`catch_up`, `change_serve`); where those are compacted away,
//! for the buckets of a snapshot in which it differs (`snapshot_fetch`, `snapshot_serve`). The `replica` applies
//! nothing that was not verified. [`Node`] puts these together as a channel of the link, whose messages are in [`message`].
//!
//! State machines without I/O: messages and the time go in, messages come out; the same seed yields the same run.
//!
//! Dependencies point one way: `message`, `reassembly`, `topology` ← `error` ← `replica` ← the servers and the fetch ←
//! `node`.
#![forbid(unsafe_code)]

mod budget;
mod catch_up;
mod change_serve;
mod disagreement;
mod error;
mod jitter;
pub mod layout;
pub mod message;
mod node;
mod push;
mod reassembly;
mod replica;
mod snapshot_fetch;
mod snapshot_serve;
mod subscribers;
mod subscription;
pub mod topology;

pub use disagreement::Disagreement;
pub use error::{Counts, Kind, RolloutError};
pub use fleet::{Micros, Peer, SECOND};
pub use node::{Config, LOG_LIMITS, Node, SERVE_BYTES_PER_S, Status};
pub use reassembly::FragmentError;
pub use snapshot_fetch::Progress;
pub use subscribers::MOST_SUBSCRIBERS;
pub use subscription::Upstream;

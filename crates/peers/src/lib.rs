//! What relays report to each other about destinations: observations that lose weight with age, the trust in each reporting
//! peer, and gossip by datagrams that may be lost, duplicated or delayed.
//!
//! Nothing here opens a socket or reads a clock. [`node::Node`] is a channel of the peer link (see the crate fleet): it takes
//! frames, the time and this relay's own observations, and returns frames to send and the observations that are believed.
//! [`observation`] defines the observations and their half-lives, [`table`] merges them, [`trust`] weighs their sources,
//! [`item`] is the wire format, and [`observer`] derives observations from this relay's own calls.
//!
//! Dependencies point one way: `observation` ← `trust`, `item` ← `table` ← `node` ← `standalone`.
#![forbid(unsafe_code)]

pub mod item;
pub mod node;
pub mod observation;
pub mod observer;
pub mod standalone;
pub mod table;
pub mod trust;

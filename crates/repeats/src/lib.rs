//! A retry budget for each destination, shared by all relays of a fleet, so that retries that are few at each relay do not
//! add up to an overload.
//!
//! Each first attempt earns its relay a tenth of a token, and time earns the whole fleet one token a second; a retry costs
//! one token. Relays transfer their tokens to the budget coordinator of the destination, the relay that rendezvous hashing
//! selects among those that answer. The coordinator grants them to the waiting retries of highest priority, at whichever
//! relay they wait. A token that is not used lapses after some seconds.
//!
//! The bound on retries is the sum of what relays do on their own, so that it holds under any partition, delay, loss,
//! duplication, pause, crash or restart: a relay spends and transfers only tokens that it earned or received, and withdraws
//! them from its budget before it announces the transfer. A transfer is announced as a total that only grows, from one
//! incarnation of a relay to one incarnation of another. It therefore counts once however often it arrives, and counts for
//! nobody once the receiver has restarted. Tokens lost in transit or with a relay are lost to the fleet: retries become fewer,
//! never more.
//!
//! [`budget`] is one relay's account of tokens, [`tokens`] what its decision module may use, [`item`] the wire format and
//! [`node`] the relay as a coordinator and as a client of coordinators: a channel of the peer link (see the crate fleet),
//! without I/O. Dependencies point one way: `budget`, `item` ← `node`.
#![forbid(unsafe_code)]

pub mod budget;
pub mod item;
pub mod node;
pub mod tokens;

pub use fleet::{Micros, Peer, SECOND};

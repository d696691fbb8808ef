//! One budget for repeated attempts over a fleet, for each destination: so that repeats, each small for one relay, do not add
//! up to harm.
//!
//! A first attempt earns its relay a tenth of a credit, and time earns the fleet one credit a second in all; a repeat costs
//! one. Credits go to the keeper of the destination, one relay found by rendezvous hashing among those that answer, which
//! gives them to the worthiest repeats that wait at any relay. A credit that nobody used for some seconds lapses.
//!
//! The bound is a sum of what relays do by themselves, so that it holds whatever is cut, late, lost, doubled, frozen, killed
//! or started again: a relay spends and gives only what it earned or was given, and takes what it gives out of its purse
//! before it says so. What was given is told as a total that only grows, from one start of a relay to one start of another,
//! so that it counts once however often it comes, and to nobody where its receiver has died. What is lost on the way, or with
//! a relay, is lost to the fleet: repeats become fewer, never more.
//!
//! [`purse`] is one relay's account, [`hand`] what its decision module may use, [`note`] the wire, [`node`] the keeper and
//! who asks it: a channel of the link (see the crate fleet), without I/O. Dependencies point one way: `purse`, `note` ←
//! `node`.
#![forbid(unsafe_code)]

pub mod hand;
pub mod node;
pub mod note;
pub mod purse;

pub use fleet::{Micros, Peer, SECOND};

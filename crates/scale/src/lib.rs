//! A scale harness: it runs the control cores of many relays in one process, in simulated time, and counts what they
//! cost.
//!
//! The relays are hollow. Each runs the very code of the cores (`fleet`, `permits`, `peers`, `turns`); only sockets, disk, clock
//! and the work of destinations are simulated. [`scenario`] says what to run, [`run()`] runs it, [`measurement`] is what comes
//! out. [`slopes`] runs many sizes and predicts larger ones by a [`fit`]; [`report`] and [`page`] show what came out.
//! [`network`], [`queue`] and [`random`] know nothing of the cores and serve other simulations as well.
#![forbid(unsafe_code)]

pub mod destinations;
pub mod fit;
pub mod measurement;
pub mod network;
pub mod page;
pub mod progress;
pub mod queue;
pub mod random;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod time;
pub mod traffic;

pub use measurement::Measurement;
pub use progress::Progress;
pub use run::{RunError, run};
pub use scenario::Scenario;

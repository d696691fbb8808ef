//! Faults of system calls, of the disk and of the wall clock in one child process, by a scenario in TOML and a seed.
//!
//! [`Scenario`] reads and checks a file; [`Scenario::environment`] gives the variables with which a child has to be started.
//! They preload the library of `crates/faults-shim`, which makes the calls fail inside that child alone.

mod errno;
pub mod proxy;
mod scenario;

pub use scenario::{Child, Scenario, ScenarioError};

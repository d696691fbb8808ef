//! What the program does on the command line: runs a relay, and asks the record.

pub mod configuration;
pub mod control;
pub mod control_machine;
mod opening;
pub mod peers;
pub mod publishing;
pub mod record;
mod reload;
pub mod run;
mod tasks;
pub mod turns;

/// Why it could not be done.
pub type Failure = Box<dyn std::error::Error>;

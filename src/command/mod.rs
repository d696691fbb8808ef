//! The subcommands of the program: running a relay, querying and controlling a running one, publishing destinations, and
//! working with the record.

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

/// Why a command failed.
pub type Failure = Box<dyn std::error::Error>;

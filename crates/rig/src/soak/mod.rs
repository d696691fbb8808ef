//! The soak: seeded runs of a few relays under load, while their system calls, disks and clocks fail and processes are killed,
//! ended, reloaded and given empty disks. Everything is judged from outside, by clients' and endpoints' own records.

mod chaos;
mod file;
mod findings;
mod run;

pub use file::{Kind, SoakFile};
pub use run::{SoakOutcome, run};

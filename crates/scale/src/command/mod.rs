//! The commands of the binary.

pub mod run;

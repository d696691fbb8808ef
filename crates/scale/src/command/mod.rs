//! The commands of the binary.

pub mod rollout;
pub mod run;

//! The commands of the binary.

pub mod days;
pub mod page;
pub mod point;
pub mod report;
pub mod rollout;
pub mod run;
pub mod slopes;

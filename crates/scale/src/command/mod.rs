//! The commands of the binary.

pub mod page;
pub mod point;
pub mod report;
pub mod run;
pub mod slopes;

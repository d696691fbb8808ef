//! Placeholder of the crate `scale`; its modules follow.
#![forbid(unsafe_code)]

pub mod fit;
pub mod measurement;
pub mod page;
pub mod slopes;

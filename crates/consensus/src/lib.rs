//! Placeholder of the crate `consensus`; its modules follow.
#![forbid(unsafe_code)]

//! Placeholder of the crate `destinations`; its modules follow.
#![forbid(unsafe_code)]

//! Placeholder of the crate `rollout`; its modules follow.
#![forbid(unsafe_code)]

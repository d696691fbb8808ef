//! A library that is preloaded into one process (`LD_PRELOAD`) and makes its system calls fail by a plan.
//!
//! The plan comes in the environment variable `TULIPFALL_FAULT_PLAN`, written by the `faults` crate; without it every
//! call passes through. Each fault that was made is appended to the plan's log with its time, call and kind.
//! Only calls on files below the plan's scope, on sockets, and on the wall clock are touched.

mod calls;
mod plan;

pub use calls::*;

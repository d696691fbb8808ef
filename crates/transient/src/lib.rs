//! Which errors of system calls may pass by themselves, and trying again meanwhile.
//!
//! [`persistence`] is the one place that tells a machine which is short of something for a moment from one on which somebody has
//! to do something. [`Retries`] says how long to wait before the next try, and logs.

mod persistence;
mod retries;

pub use persistence::{Persistence, persistence};
pub use retries::{MayPass, Retries, until_works, until_works_blocking, until_works_watched};

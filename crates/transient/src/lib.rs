//! Classification of system call errors as transient or permanent, and retries after transient ones.
//!
//! [`persistence`] is the single place that tells a temporary shortage of resources from an error that needs an operator.
//! [`RetryBackoff`] returns the interval before the next attempt, and logs.

mod persistence;
mod retries;

pub use persistence::{Persistence, persistence};
pub use retries::{
    RetryBackoff, RetryableError, retry_transient, retry_transient_blocking, retry_transient_watched,
};

//! Trying again while the cause of an error may pass by itself, in sight of operators.

use std::fmt::Display;
use std::time::Duration;

pub use transient::{MayPass, Retries, until_works_blocking};
use transient::{Persistence, until_works_watched};

use crate::standing::ProcessStatus;
use crate::store::StoreError;

impl MayPass for StoreError {
    fn may_pass(&self, elapsed: Duration) -> bool {
        match self {
            StoreError::Io(error) => error.may_pass(elapsed),
            other => other.persistence() == Persistence::Transient,
        }
    }
}

/// Tries something until it works, while the cause of its errors may pass. `standing` shows operators what is waited for.
///
/// # Errors
/// The first error that does not pass by itself.
pub async fn until_works<T, E: MayPass + Display>(
    what: &str, standing: &ProcessStatus, attempt: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    let waits = |error: Option<&E>| match error {
        Some(error) => standing.set_waiting_reason(&format!("{what}: {error}")),
        None => standing.set_waiting_reason(""),
    };
    until_works_watched(what, attempt, waits).await
}

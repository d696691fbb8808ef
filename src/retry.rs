//! Retries after transient errors, shown in the process status.

use std::fmt::Display;
use std::time::Duration;

use transient::{Persistence, retry_transient_watched};
pub use transient::{RetryBackoff, RetryableError, retry_transient_blocking};

use crate::standing::ProcessStatus;
use crate::store::StoreError;

impl RetryableError for StoreError {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self {
            StoreError::Io(error) => error.is_retryable(elapsed),
            other => other.persistence() == Persistence::Transient,
        }
    }
}

/// Runs an operation until it succeeds or fails with an error that is not transient. `standing` shows the pending error to
/// operators.
///
/// # Errors
/// The first error that is not transient.
pub async fn retry_transient<T, E: RetryableError + Display>(
    operation: &str, standing: &ProcessStatus, attempt: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    let show_status = |error: Option<&E>| match error {
        Some(error) => standing.set_waiting_reason(&format!("{operation}: {error}")),
        None => standing.set_waiting_reason(""),
    };
    retry_transient_watched(operation, attempt, show_status).await
}

//! Retries of an operation after transient errors, with exponential back-off.

use std::fmt::Display;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tracing::{info, warn};

use crate::{Persistence, persistence};

/// Interval before the first retry.
const FIRST_INTERVAL: Duration = Duration::from_millis(5);
/// Longest interval between retries.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about one operation.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an address in use is retried, because the process that holds it may be about to exit.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);

/// An error that is known to be transient or permanent.
pub trait RetryableError {
    /// Returns whether a retry may succeed, this long after the first attempt.
    fn is_retryable(&self, elapsed: Duration) -> bool;
}

impl RetryableError for std::io::Error {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self.kind() {
            ErrorKind::AddrInUse => elapsed < ADDRESS_IN_USE_TIMEOUT,
            _ => persistence(self) == Persistence::Transient,
        }
    }
}

/// Back-off between the attempts of one operation.
#[derive(Debug)]
pub struct RetryBackoff {
    started: Instant,
    interval: Duration,
    failures: u32,
    last_logged: Option<Instant>,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        RetryBackoff { started: Instant::now(), interval: FIRST_INTERVAL, failures: 0, last_logged: None }
    }
}

impl RetryBackoff {
    /// Returns the interval before the next attempt, or `None` if a retry cannot help. Logs the error, at most once a second.
    pub fn next_interval(
        &mut self, operation: &str, error: &(impl RetryableError + Display),
    ) -> Option<Duration> {
        if !error.is_retryable(self.started.elapsed()) {
            return None;
        }
        self.failures += 1;
        if self.last_logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.last_logged = Some(Instant::now());
            warn!(failures = self.failures, "{operation}: {error}; retrying");
        }
        let interval = self.interval;
        self.interval = (interval * 2).min(MAX_INTERVAL);
        Some(interval)
    }

    /// Returns whether any attempt failed before this success, and logs the success in that case.
    pub fn report_success(&self, operation: &str) -> bool {
        if self.failures > 0 {
            info!(failures = self.failures, "{operation}: succeeded after retries");
        }
        self.failures > 0
    }
}

/// Runs an operation until it succeeds or fails with an error that is not transient. `on_change` is called with each error
/// that is retried, and with `None` once the operation succeeds after one.
///
/// # Errors
/// The first error that is not transient.
pub async fn retry_transient_watched<T, E: RetryableError + Display>(
    operation: &str, mut attempt: impl AsyncFnMut() -> Result<T, E>, on_change: impl Fn(Option<&E>),
) -> Result<T, E> {
    let mut backoff = RetryBackoff::default();
    loop {
        match attempt().await {
            Ok(result) => {
                if backoff.report_success(operation) {
                    on_change(None);
                }
                return Ok(result);
            }
            Err(error) => {
                let Some(interval) = backoff.next_interval(operation, &error) else { return Err(error) };
                on_change(Some(&error));
                tokio::time::sleep(interval).await;
            }
        }
    }
}

/// Runs an operation until it succeeds or fails with an error that is not transient.
///
/// # Errors
/// The first error that is not transient.
pub async fn retry_transient<T, E: RetryableError + Display>(
    operation: &str, attempt: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    retry_transient_watched(operation, attempt, |_| ()).await
}

/// Like [`retry_transient`], but blocks the calling thread between attempts.
///
/// # Errors
/// The first error that is not transient.
pub fn retry_transient_blocking<T, E: RetryableError + Display>(
    operation: &str, mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut backoff = RetryBackoff::default();
    loop {
        match attempt() {
            Ok(result) => {
                backoff.report_success(operation);
                return Ok(result);
            }
            Err(error) => match backoff.next_interval(operation, &error) {
                Some(interval) => std::thread::sleep(interval),
                None => return Err(error),
            },
        }
    }
}

//! Trying again while the cause of an error may pass by itself.

use std::fmt::Display;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tracing::{info, warn};

use crate::{Persistence, persistence};

/// Interval before the first retry.
const FIRST_INTERVAL: Duration = Duration::from_millis(5);
/// Longest interval between retries.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an address may be in use, as by a process that is about to end.
const ADDRESS_IN_USE: Duration = Duration::from_secs(3);

/// An error of which is known whether trying again may help.
pub trait MayPass {
    /// Whether trying again may help, after so long.
    fn may_pass(&self, elapsed: Duration) -> bool;
}

impl MayPass for std::io::Error {
    fn may_pass(&self, elapsed: Duration) -> bool {
        match self.kind() {
            ErrorKind::AddrInUse => elapsed < ADDRESS_IN_USE,
            _ => persistence(self) == Persistence::Transient,
        }
    }
}

/// The retries of one thing.
#[derive(Debug)]
pub struct Retries {
    began: Instant,
    interval: Duration,
    failures: u32,
    logged: Option<Instant>,
}

impl Default for Retries {
    fn default() -> Self {
        Retries { began: Instant::now(), interval: FIRST_INTERVAL, failures: 0, logged: None }
    }
}

impl Retries {
    /// How long to wait before the next try; none where trying again does not help. Logged once a second at most.
    pub fn after(&mut self, what: &str, error: &(impl MayPass + Display)) -> Option<Duration> {
        if !error.may_pass(self.began.elapsed()) {
            return None;
        }
        self.failures += 1;
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged = Some(Instant::now());
            warn!(failures = self.failures, "{what}: {error}; tried again");
        }
        let interval = self.interval;
        self.interval = (interval * 2).min(MAX_INTERVAL);
        Some(interval)
    }

    /// Logs that it works, if it did not before; returns whether it did not.
    pub fn worked(&self, what: &str) -> bool {
        if self.failures > 0 {
            info!(failures = self.failures, "{what}: works now");
        }
        self.failures > 0
    }
}

/// Tries something until it works, while the cause of its errors may pass. `waits` is told each error that is waited out, and
/// then that it works.
///
/// # Errors
/// The first error that does not pass by itself.
pub async fn until_works_watched<T, E: MayPass + Display>(
    what: &str, mut attempt: impl AsyncFnMut() -> Result<T, E>, waits: impl Fn(Option<&E>),
) -> Result<T, E> {
    let mut retries = Retries::default();
    loop {
        match attempt().await {
            Ok(result) => {
                if retries.worked(what) {
                    waits(None);
                }
                return Ok(result);
            }
            Err(error) => {
                let Some(interval) = retries.after(what, &error) else { return Err(error) };
                waits(Some(&error));
                tokio::time::sleep(interval).await;
            }
        }
    }
}

/// Tries something until it works, while the cause of its errors may pass.
///
/// # Errors
/// The first error that does not pass by itself.
pub async fn until_works<T, E: MayPass + Display>(
    what: &str, attempt: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    until_works_watched(what, attempt, |_| ()).await
}

/// Tries something until it works, while the cause of its errors may pass, on the calling thread.
///
/// # Errors
/// The first error that does not pass by itself.
pub fn until_works_blocking<T, E: MayPass + Display>(
    what: &str, mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut retries = Retries::default();
    loop {
        match attempt() {
            Ok(result) => {
                retries.worked(what);
                return Ok(result);
            }
            Err(error) => match retries.after(what, &error) {
                Some(interval) => std::thread::sleep(interval),
                None => return Err(error),
            },
        }
    }
}

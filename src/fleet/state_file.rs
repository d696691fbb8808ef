//! Small JSON files beside the journal that hold state for the next start.
//!
//! Invariants: an interrupted write leaves the old file, and an unreadable file never prevents a relay's start.

use std::io::{Error, ErrorKind, Result};
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::retry::Retries;

/// Time limit for retries when a file cannot be read temporarily.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the state that an earlier process wrote. Returns the default if there is no file, or it is invalid or unreadable.
pub(super) fn read<T: DeserializeOwned + Default>(file: &Path) -> T {
    let read = read_bytes(file).and_then(|bytes| serde_json::from_slice(&bytes).map_err(Error::from));
    match read {
        Ok(state) => state,
        Err(error) if error.kind() == ErrorKind::NotFound => T::default(),
        Err(error) => {
            warn!("{}: {error}; starting without the state in this file", file.display());
            T::default()
        }
    }
}

fn read_bytes(file: &Path) -> Result<Vec<u8>> {
    let (file_name, started) = (file.display().to_string(), Instant::now());
    let mut retries = Retries::default();
    loop {
        let error = match std::fs::read(file) {
            Ok(bytes) => return Ok(bytes),
            Err(error) => error,
        };
        match retries.after(&file_name, &error) {
            Some(interval) if started.elapsed() < READ_TIMEOUT => std::thread::sleep(interval),
            _ => return Err(error),
        }
    }
}

/// Writes a file under another name and renames it, so that a crash leaves the old file or the new one. Logs an error.
///
/// # Errors
/// If the disk fails; the old file stays.
pub(super) fn write(file: &Path, state: &impl Serialize) -> Result<()> {
    let new_file = file.with_extension("new");
    let written = serde_json::to_vec(state).map_err(Error::other);
    let written = written.and_then(|bytes| std::fs::write(&new_file, bytes));
    let written = written.and_then(|()| std::fs::rename(&new_file, file));
    written.inspect_err(|error| warn!("{}: {error}", file.display()))
}

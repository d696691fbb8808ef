//! Small files beside the journal that outlast the process, as JSON. Owns how one is written and read. It must never leave
//! half a file, nor keep a relay from its start.

use std::io::{Error, ErrorKind, Result};
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::retry::RetryBackoff;

/// A start waits so long for a file that cannot be read for a moment.
const READ_WITHIN: Duration = Duration::from_secs(2);

/// What an earlier process kept; nothing where there is no file, it makes no sense, or it cannot be read.
pub(super) fn read<T: DeserializeOwned + Default>(file: &Path) -> T {
    let read = read_bytes(file).and_then(|bytes| serde_json::from_slice(&bytes).map_err(Error::from));
    match read {
        Ok(kept) => kept,
        Err(error) if error.kind() == ErrorKind::NotFound => T::default(),
        Err(error) => {
            warn!("{}: {error}; nothing is taken from it", file.display());
            T::default()
        }
    }
}

fn read_bytes(file: &Path) -> Result<Vec<u8>> {
    let (what, began) = (file.display().to_string(), Instant::now());
    let mut retries = RetryBackoff::default();
    loop {
        let error = match std::fs::read(file) {
            Ok(bytes) => return Ok(bytes),
            Err(error) => error,
        };
        match retries.next_interval(&what, &error) {
            Some(interval) if began.elapsed() < READ_WITHIN => std::thread::sleep(interval),
            _ => return Err(error),
        }
    }
}

/// Writes it; a kill leaves the old file or the new one. A failure is logged.
///
/// # Errors
/// If the disk fails; the old file stays.
pub(super) fn write(file: &Path, kept: &impl Serialize) -> Result<()> {
    let beside = file.with_extension("new");
    let written = serde_json::to_vec(kept).map_err(Error::other);
    let written = written.and_then(|bytes| std::fs::write(&beside, bytes));
    let written = written.and_then(|()| std::fs::rename(&beside, file));
    written.inspect_err(|error| warn!("{}: {error}", file.display()))
}

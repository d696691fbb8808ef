//! The relay's clock, which steps of the wall clock do not affect, not even across restarts within one boot of the machine.
//!
//! It starts from the wall clock's time when the state folder was first used in this boot, and advances with the monotonic
//! clock. [`ClockAnchor`] stores the relation between the two clocks in the state folder.

use std::io::ErrorKind;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::interface::Micros;

/// The anchor's file in the state folder.
const FILE: &str = "clock";
/// The file in which Linux provides the boot id.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Microseconds in a second.
const SECOND: i64 = 1_000_000;

/// The relay's clock: microseconds of Unix time that never step while the machine runs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// Creates a clock that starts from the wall clock's time.
    pub fn start() -> Self {
        Clock { start: Instant::now(), unix: wall_clock() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The instant at which the clock reaches `at`, for a timer.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = u64::try_from(at - self.unix).unwrap_or(0);
        tokio::time::Instant::from_std(self.start + Duration::from_micros(after.min(1 << 52)))
    }
}

fn wall_clock() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// The monotonic clock's time, in microseconds since an origin that all processes of a boot share.
fn monotonic_clock() -> std::io::Result<Micros> {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC)?;
    Ok(now.tv_sec() * SECOND + now.tv_nsec() / 1_000)
}

/// A reading of an earlier process's clock, from which later processes of the same boot continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The relay that the state folder belongs to.
    relay: String,
    /// The boot id of the machine.
    boot: String,
    /// The monotonic clock's time at the reading, in microseconds.
    monotonic_us: Micros,
    /// The relay's clock at the reading, in Unix microseconds.
    unix_us: Micros,
}

impl ClockAnchor {
    /// Reads the anchor of a state folder; `None` if there is none or it is invalid.
    ///
    /// # Errors
    /// If the file exists and cannot be read.
    pub fn read(folder: &Path) -> std::io::Result<Option<Self>> {
        let file = folder.join(FILE);
        let bytes = match std::fs::read(&file) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let anchor = serde_json::from_slice(&bytes);
        Ok(anchor.inspect_err(|error| warn!("{}: {error}; the wall clock is used", file.display())).ok())
    }

    /// The relay that the state folder belongs to.
    pub fn relay(&self) -> &str {
        &self.relay
    }

    /// Creates a clock that continues from an anchor of this boot, or else starts from the wall clock's time. Also returns the
    /// anchor for later processes; without a boot id there is none.
    ///
    /// # Errors
    /// If the monotonic clock cannot be read.
    pub fn resume(relay: &str, earlier: Option<Self>) -> std::io::Result<(Clock, Option<Self>)> {
        let Ok(boot) = std::fs::read_to_string(BOOT_ID).map(|id| id.trim().to_string()) else {
            return Ok((Clock::start(), None));
        };
        let (start, now) = (Instant::now(), monotonic_clock()?);
        let same = earlier.filter(|anchor| anchor.boot == boot && anchor.monotonic_us <= now);
        let unix =
            same.as_ref().map_or_else(wall_clock, |anchor| anchor.unix_us + (now - anchor.monotonic_us));
        let anchor =
            same.unwrap_or(ClockAnchor { relay: relay.into(), boot, monotonic_us: now, unix_us: unix });
        Ok((Clock { start, unix }, Some(anchor)))
    }

    /// Writes the anchor to a state folder. A crash leaves either the old file or the new one.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let bytes = serde_json::to_vec(self).map_err(std::io::Error::other)?;
        let new_file = folder.join(FILE).with_extension("new");
        std::fs::write(&new_file, bytes)?;
        std::fs::rename(&new_file, folder.join(FILE))
    }
}

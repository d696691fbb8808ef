//! The relay's clock, which steps of the wall clock do not move, across restarts within one boot of the machine either.
//!
//! It shows Unix time as the wall clock had it when the state folder was first used in this boot, and runs on by the
//! monotonic clock. [`ClockAnchor`] keeps the relation between the two in the state folder.

use std::io::ErrorKind;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::interface::Micros;

/// The anchor's file in the state folder.
const FILE: &str = "clock";
/// Where Linux tells one boot from another.
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
    /// A clock that starts at the wall clock's time.
    pub fn start() -> Self {
        Clock { start: Instant::now(), unix: wall() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The moment at which the clock shows `at`, for a timer.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = u64::try_from(at - self.unix).unwrap_or(0);
        tokio::time::Instant::from_std(self.start + Duration::from_micros(after.min(1 << 52)))
    }
}

fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// The monotonic clock's time, in microseconds since a point that is the same for all processes of a boot.
fn monotonic() -> std::io::Result<Micros> {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC)?;
    Ok(now.tv_sec() * SECOND + now.tv_nsec() / 1_000)
}

/// What the clock of an earlier process showed, in terms that a later process of the same boot can go on from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The relay whose state folder it lies in.
    relay: String,
    /// The boot of the machine.
    boot: String,
    /// The monotonic clock's time when this was taken, in microseconds.
    monotonic_us: Micros,
    /// What the relay's clock showed then, in microseconds.
    unix_us: Micros,
}

impl ClockAnchor {
    /// The anchor in a state folder; none where there is none, or it makes no sense.
    ///
    /// # Errors
    /// If the file is there and cannot be read.
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

    /// The relay whose state folder it lies in.
    pub fn relay(&self) -> &str {
        &self.relay
    }

    /// A clock of a relay that goes on from an anchor of this boot, or else starts at the wall clock's time; with the anchor for the
    /// processes to come. Without a boot id no clock outlasts its process.
    ///
    /// # Errors
    /// If the monotonic clock cannot be read.
    pub fn resume(relay: &str, earlier: Option<Self>) -> std::io::Result<(Clock, Option<Self>)> {
        let Ok(boot) = std::fs::read_to_string(BOOT_ID).map(|id| id.trim().to_string()) else {
            return Ok((Clock::start(), None));
        };
        let (start, now) = (Instant::now(), monotonic()?);
        let same = earlier.filter(|anchor| anchor.boot == boot && anchor.monotonic_us <= now);
        let unix = same.as_ref().map_or_else(wall, |anchor| anchor.unix_us + (now - anchor.monotonic_us));
        let anchor =
            same.unwrap_or(ClockAnchor { relay: relay.into(), boot, monotonic_us: now, unix_us: unix });
        Ok((Clock { start, unix }, Some(anchor)))
    }

    /// Writes it to a state folder; a kill leaves the old file or the new one.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let bytes = serde_json::to_vec(self).map_err(std::io::Error::other)?;
        let beside = folder.join(FILE).with_extension("new");
        std::fs::write(&beside, bytes)?;
        std::fs::rename(&beside, folder.join(FILE))
    }
}

//! Resource limits of the process, with their defaults.

use serde_json::Value;

use super::error::{ConfigError, bad};
use super::operator::Table;

/// Default number of file descriptors.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Default disk limit, in megabytes.
const DEFAULT_DISK_MB: f64 = 64.0;
/// Default memory limit, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Minimum number of file descriptors.
const MIN_SOCKETS: f64 = 32.0;
/// Minimum disk limit, in megabytes.
const MIN_DISK_MB: f64 = 1.0;
/// Minimum memory limit, in megabytes.
const MIN_MEMORY_MB: f64 = 16.0;
/// Bytes in a megabyte, by the decimal definition.
const BYTES_PER_MB: f64 = 1e6;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of file descriptors.
    pub sockets: usize,
    /// Size of the state folder, in bytes.
    pub disk: u64,
    /// Memory, in bytes.
    pub memory: usize,
}

impl Limits {
    /// Reads `limits` of the platform's file.
    pub(super) fn from_platform(value: &Value) -> Result<Self, ConfigError> {
        Self::read(|key, min, default| match value.pointer(&format!("/limits/{key}")) {
            None => Ok(default),
            Some(found) => found
                .as_f64()
                .filter(|number| *number >= min)
                .ok_or_else(|| bad(&format!("limits.{key}"), format!("is {found}, expected {min} or more"))),
        })
    }

    /// Reads the table `limits` of an operator's file.
    pub(super) fn from_operator(top: &Table) -> Result<Self, ConfigError> {
        let Some(table) = top.table("limits")? else {
            return Self::read(|_, _, default| Ok(default));
        };
        let limits = Self::read(|key, min, default| table.number(key, min, Some(default)))?;
        table.finish()?;
        Ok(limits)
    }

    /// Reads each limit by its key, its minimum and its default.
    fn read(
        number: impl Fn(&'static str, f64, f64) -> Result<f64, ConfigError>,
    ) -> Result<Self, ConfigError> {
        let sockets = number("sockets", MIN_SOCKETS, DEFAULT_SOCKETS)?;
        let disk_mb = number("disk_mb", MIN_DISK_MB, DEFAULT_DISK_MB)?;
        let memory_mb = number("memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB)?;
        Ok(Limits {
            sockets: sockets as usize,
            disk: (disk_mb * BYTES_PER_MB) as u64,
            memory: (memory_mb * BYTES_PER_MB) as usize,
        })
    }
}

//! What a process has used, as the system tells it: processor time from `/proc/PID/stat`, resident memory from
//! `/proc/PID/smaps_rollup` (the counts in `stat` lag behind by up to some pages a processor).

use std::path::PathBuf;

use nix::unistd::{SysconfVar, sysconf};
use thiserror::Error;

/// `utime` and `stime` in `/proc/PID/stat`, counted from 1 as in proc(5).
const USER_TICKS_FIELD: usize = 14;
const SYSTEM_TICKS_FIELD: usize = 15;
/// The first field behind the name of the command, which may hold spaces and brackets itself.
const FIRST_FIELD_AFTER_NAME: usize = 3;
/// Bytes of the unit "kB" of `/proc/PID/smaps_rollup`.
const KIBIBYTE: u64 = 1024;

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in user and system mode, in seconds.
    pub processor_s: f64,
    /// Resident memory now, in bytes.
    pub resident_bytes: u64,
}

/// Why the usage of a process is not known.
#[derive(Debug, Error)]
pub enum UsageError {
    /// The file is not there, as after the end of the process.
    #[error("{}: {error}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// The text does not hold that field as a number.
    #[error("{}: {field}: expected a number", .file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The field's name.
        field: &'static str,
    },
    /// The system does not tell how long a tick is.
    #[error("the system does not tell how many clock ticks make a second")]
    NoTicks,
}

/// Processor time in clock ticks, from the text of `/proc/PID/stat`; the name of a field that is not there.
///
/// # Errors
/// The field that is missing or no number.
pub fn processor_ticks(stat: &str) -> Result<u64, &'static str> {
    let (_, after_name) = stat.rsplit_once(')').ok_or("comm")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |number: usize| fields.get(number - FIRST_FIELD_AFTER_NAME)?.parse::<u64>().ok();
    let user_ticks = field(USER_TICKS_FIELD).ok_or("utime")?;
    let system_ticks = field(SYSTEM_TICKS_FIELD).ok_or("stime")?;
    user_ticks.checked_add(system_ticks).ok_or("stime")
}

/// Resident memory in bytes, from the text of `/proc/PID/smaps_rollup`.
///
/// # Errors
/// The field that is missing or no number.
pub fn resident_bytes(smaps_rollup: &str) -> Result<u64, &'static str> {
    let line = smaps_rollup.lines().find_map(|line| line.strip_prefix("Rss:")).ok_or("Rss")?;
    let kibibytes = line.trim().strip_suffix("kB").ok_or("Rss")?;
    let kibibytes: u64 = kibibytes.trim().parse().map_err(|_| "Rss")?;
    kibibytes.checked_mul(KIBIBYTE).ok_or("Rss")
}

/// What a running process has used.
///
/// # Errors
/// Where the process is gone, or the system's text is not as expected.
pub fn read(process: u32) -> Result<ProcessUsage, UsageError> {
    let ticks = read_field(process, "stat", processor_ticks)?;
    let resident_bytes = read_field(process, "smaps_rollup", resident_bytes)?;
    Ok(ProcessUsage { processor_s: ticks as f64 / ticks_per_second()?, resident_bytes })
}

fn read_field(
    process: u32, name: &str, parse: fn(&str) -> Result<u64, &'static str>,
) -> Result<u64, UsageError> {
    let file = PathBuf::from(format!("/proc/{process}/{name}"));
    match std::fs::read_to_string(&file) {
        Ok(text) => parse(&text).map_err(|field| UsageError::Malformed { file, field }),
        Err(error) => Err(UsageError::Unreadable { file, error }),
    }
}

fn ticks_per_second() -> Result<f64, UsageError> {
    let ticks = sysconf(SysconfVar::CLK_TCK).ok().flatten().filter(|ticks| *ticks > 0);
    ticks.map(|ticks| ticks as f64).ok_or(UsageError::NoTicks)
}

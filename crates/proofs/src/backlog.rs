//! What a backlog costs the relay's own journal: disk, memory, the time of a write as the backlog grows, and the time of
//! replay. It drives the journal of the relay itself on this machine's disk, with no relay around it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use tulipfall::store::{Journal, JournalLimits, RESERVED_BYTES_PER_MESSAGE, Record, Stored};

use crate::Failure;

/// Messages that one write takes, as when a relay is busy.
const PER_WRITE: u64 = 64;
/// Unix time in microseconds until which the messages may be delivered; far away, so that none ends.
const DUE: i64 = 4_000_000_000_000_000;
/// Bytes in a kilobyte of `/proc/self/status`.
const KILOBYTE: u64 = 1024;

/// What is written.
#[derive(Clone, Debug)]
pub struct Run {
    /// Messages that are held at the end.
    pub messages: u64,
    /// Bytes of each message's body.
    pub body: usize,
    /// The journal's folder, which is removed before and after.
    pub folder: PathBuf,
}

/// What it cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Messages held.
    pub messages: u64,
    /// Bytes on the disk for each message.
    pub disk_bytes: f64,
    /// Bytes kept free on the disk for each message, to record its attempts and its end.
    pub reserved_bytes: u64,
    /// Bytes of memory for each message while it is held.
    pub memory_bytes: f64,
    /// Microseconds to write one message, over the first tenth of them.
    pub first_write_us: f64,
    /// Microseconds to write one message, over the last tenth of them.
    pub last_write_us: f64,
    /// Microseconds to replay one message at a start.
    pub replay_us: f64,
}

/// Writes a backlog, opens it again, and measures both.
///
/// # Errors
/// Where the folder cannot be written, or a replay does not find what was written.
pub fn run(run: &Run) -> Result<Cost, Failure> {
    remove(run)?;
    let before = resident()?;
    let room = JournalLimits { limit: u64::MAX / 2, reserved_per_message: RESERVED_BYTES_PER_MESSAGE };
    let (mut journal, _) = Journal::open(&run.folder, room)?;
    let writes = run.messages.div_ceil(PER_WRITE).max(1);
    let tenth = (writes / 10).max(1);
    let (mut first, mut last) = (Duration::ZERO, Duration::ZERO);
    for write in 0..writes {
        let began = Instant::now();
        journal.append(0, &batch(run, write))?;
        let took = began.elapsed();
        if write < tenth {
            first += took;
        }
        if write >= writes - tenth {
            last += took;
        }
    }
    let held = resident()?.saturating_sub(before);
    let disk = journal.used_bytes();
    drop(journal);
    let replay = replay(run, room)?;
    remove(run)?;
    let each = |total: Duration, messages: u64| total.as_secs_f64() * 1e6 / messages as f64;
    let messages = writes * PER_WRITE;
    Ok(Cost {
        messages,
        disk_bytes: disk as f64 / messages as f64,
        reserved_bytes: RESERVED_BYTES_PER_MESSAGE,
        memory_bytes: held as f64 / messages as f64,
        first_write_us: each(first, tenth * PER_WRITE),
        last_write_us: each(last, tenth * PER_WRITE),
        replay_us: each(replay, messages),
    })
}

/// The messages of one write.
fn batch(run: &Run, write: u64) -> Vec<Record> {
    (0..PER_WRITE).map(|i| accepted(write * PER_WRITE + i, run.body)).collect()
}

fn accepted(number: u64, body: usize) -> Record {
    Record::Accepted(Stored {
        id: format!("backlog-{number:012}"),
        class: "status-update".into(),
        tenant: Some("desk".into()),
        destination: (number % 56_000) as i64,
        due: DUE,
        idempotency_key: None,
        body: Bytes::from(vec![b'x'; body]),
        attempts: 0,
        may_have_run: false,
        terms: None,
        trace: None,
    })
}

/// How long a start needs to find the backlog.
fn replay(run: &Run, room: JournalLimits) -> Result<Duration, Failure> {
    let began = Instant::now();
    let (_journal, found) = Journal::open(&run.folder, room)?;
    let took = began.elapsed();
    let expected = run.messages.div_ceil(PER_WRITE).max(1) * PER_WRITE;
    if found.messages.len() as u64 != expected {
        return Err(format!("a replay found {} messages of {expected}", found.messages.len()).into());
    }
    Ok(took)
}

fn remove(run: &Run) -> std::io::Result<()> {
    match std::fs::remove_dir_all(&run.folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Bytes of this process that lie in memory.
fn resident() -> Result<u64, Failure> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS in /proc/self/status")?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kilobytes * KILOBYTE)
}
